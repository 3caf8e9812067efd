use std::fmt::Write;

use crate::baselines::POLICIES;
use crate::experiment::RunSummary;
use crate::experiment::random::usize_to_f64;

/// A baseline is compared with if it has this fraction of the best baseline's goodput.
const GOODPUT_FRACTION: f64 = 0.97;

/// Compared columns, and the target as a fraction of the best baseline's value.
const TARGETS: [(&str, f64); 4] = [
    ("stall_s", 0.5),
    ("preempt_1k", 0.1),
    ("gap_p99_ms", 0.7),
    ("first_p99_ms", 1.0),
];

/// Formats the product's values beside the best baseline's, one line for each load and fault.
pub(crate) fn format_comparison(summaries: &[RunSummary]) -> String {
    let mut text = String::new();
    let mut runs: Vec<String> = Vec::new();
    for summary in summaries {
        let run = summary.run_name();
        if !runs.contains(&run) {
            runs.push(run);
        }
    }
    for run in runs {
        let of_run: Vec<&RunSummary> = summaries.iter().filter(|s| s.run_name() == run).collect();
        if let Some(line) = compare(&of_run) {
            let _ = writeln!(text, "{run:<32} {line}");
        }
    }
    text
}

fn compare(of_run: &[&RunSummary]) -> Option<String> {
    let goodput = |policy: &&str| mean(of_run, policy, "good_tok_s");
    let baselines = POLICIES[1..].iter().copied();
    let best = baselines.clone().filter_map(|policy| goodput(&policy));
    let best = best.fold(0.0, f64::max);
    let own = goodput(&POLICIES[0]).filter(|_| best > 0.0)?;
    let has_enough_goodput =
        |policy: &&str| goodput(policy).is_some_and(|tokens| tokens >= GOODPUT_FRACTION * best);
    let compared: Vec<&str> = baselines.filter(has_enough_goodput).collect();
    let mut line = format!("goodput {:.3}", own / best);
    for (name, target) in TARGETS {
        let values = compared
            .iter()
            .filter_map(|policy| mean(of_run, policy, name));
        let least = values.fold(f64::INFINITY, f64::min);
        let own = mean(of_run, POLICIES[0], name)?;
        let verdict = if own <= target * least {
            "met"
        } else {
            "missed"
        };
        let _ = write!(line, " | {name} {own:.1} of {least:.1}, {verdict}");
    }
    Some(line)
}

/// Mean of a column over the seeds of a run; none if the policy did not run.
fn mean(of_run: &[&RunSummary], policy: &str, name: &str) -> Option<f64> {
    let same = of_run.iter().filter(|summary| summary.policy == policy);
    let values: Vec<f64> = same.filter_map(|summary| summary.value(name)).collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / usize_to_f64(values.len()))
}
