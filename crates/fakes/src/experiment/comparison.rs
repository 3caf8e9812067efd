use std::fmt::Write;

use crate::baselines::POLICIES;
use crate::experiment::RunSummary;
use crate::experiment::draw::wide;

/// Part of the best baseline's goodput that a baseline needs to count.
const GOODPUT_PART: f64 = 0.97;

/// Figures that are compared, and most of the best baseline's that the issue allows.
const TARGETS: [(&str, f64); 4] = [
    ("stall_s", 0.5),
    ("preempt_1k", 0.1),
    ("gap_p99_ms", 0.7),
    ("first_p99_ms", 1.0),
];

/// The product's figures over those of the best baseline, for each load and fault.
pub(crate) fn write(summaries: &[RunSummary]) -> String {
    let mut text = String::new();
    let mut runs: Vec<String> = Vec::new();
    for summary in summaries {
        let run = summary.run();
        if !runs.contains(&run) {
            runs.push(run);
        }
    }
    for run in runs {
        let of_run: Vec<&RunSummary> = summaries.iter().filter(|s| s.run() == run).collect();
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
    let enough =
        |policy: &&str| goodput(policy).is_some_and(|tokens| tokens >= GOODPUT_PART * best);
    let counted: Vec<&str> = baselines.filter(enough).collect();
    let mut line = format!("goodput {:.3}", own / best);
    for (name, target) in TARGETS {
        let others = counted
            .iter()
            .filter_map(|policy| mean(of_run, policy, name));
        let least = others.fold(f64::INFINITY, f64::min);
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

/// Mean over the seeds of a run; none if the policy did not run.
fn mean(of_run: &[&RunSummary], policy: &str, name: &str) -> Option<f64> {
    let same = of_run.iter().filter(|summary| summary.policy == policy);
    let values: Vec<f64> = same.filter_map(|summary| summary.value(name)).collect();
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / wide(values.len()))
}
