//! Simulates dispatch policies side by side on the same load; see `docs/EXPERIMENTS.md`.

use std::error::Error;
use std::path::PathBuf;
use std::thread;

use fakes::baselines::{self, POLICIES};
use fakes::experiment::{Capacity, LoadFile, Report, RunSummary, Scenario, simulate};
use gumdrop::Options;

/// Command-line flags.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "load file; may be repeated", required)]
    load: Vec<PathBuf>,
    #[options(no_short, help = "seeds, separated by commas", default = "1")]
    seed: String,
    #[options(no_short, help = "loads over capacity", default = "0.8,1.0,1.3")]
    loads: String,
    #[options(no_short, help = "policies, or `all`", default = "all")]
    policies: String,
    #[options(
        no_short,
        help = "none,engine-loss,flood,shift,lag:MS,gaps:PART",
        default = "none"
    )]
    faults: String,
    #[options(no_short, help = "simulated seconds, in place of the load file's")]
    duration_s: Option<u32>,
    #[options(no_short, help = "runs at once", default = "3")]
    jobs: usize,
    #[options(no_short, help = "folder for table, CSV and plots")]
    out: Option<PathBuf>,
}

/// One policy on one load in one scenario.
struct ExperimentRun<'a> {
    load: &'a LoadFile,
    policy: &'a str,
    scenario: Scenario,
}

fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse_args_default_or_exit();
    let mut loads = Vec::new();
    for path in &flags.load {
        loads.push(LoadFile::read(path, flags.duration_s)?);
    }
    let runs = plan_runs(&flags, &loads)?;
    let mut report = Report::default();
    for batch in runs.chunks(flags.jobs.max(1)) {
        report.summaries.extend(run_batch(batch)?);
    }
    for load in &loads {
        eprintln!("{}: {:?}", load.name(), Capacity::from_load(load));
    }
    print!("{}", report.table());
    if let Some(folder) = &flags.out {
        report.write(folder)?;
    }
    Ok(())
}

fn plan_runs<'a>(
    flags: &'a Flags,
    loads: &'a [LoadFile],
) -> Result<Vec<ExperimentRun<'a>>, Box<dyn Error>> {
    let all = flags.policies == "all";
    let policies = if all {
        POLICIES.to_vec()
    } else {
        split_list(&flags.policies)
    };
    let mut scenarios = Vec::new();
    for fault in split_list(&flags.faults) {
        for load_factor in split_list(&flags.loads) {
            for seed in split_list(&flags.seed) {
                scenarios.push(Scenario::new(fault, load_factor.parse()?, seed.parse()?)?);
            }
        }
    }
    let mut runs = Vec::new();
    for load in loads {
        for scenario in &scenarios {
            runs.extend(policies.iter().map(|policy| ExperimentRun {
                load,
                policy,
                scenario: scenario.clone(),
            }));
        }
    }
    Ok(runs)
}

fn split_list(text: &str) -> Vec<&str> {
    text.split(',').map(str::trim).collect()
}

fn run_batch(batch: &[ExperimentRun<'_>]) -> Result<Vec<RunSummary>, String> {
    thread::scope(|scope| {
        let start = |run| scope.spawn(move || simulate_run(run));
        let handles: Vec<_> = batch.iter().map(start).collect();
        let join = |handle: thread::ScopedJoinHandle<'_, _>| handle.join().expect("no run panics");
        handles.into_iter().map(join).collect()
    })
}

fn simulate_run(run: &ExperimentRun<'_>) -> Result<RunSummary, String> {
    let setup = baselines::build(run.policy, run.scenario.seed());
    let mut setup = setup.ok_or_else(|| format!("unknown policy `{}`", run.policy))?;
    let policy = setup.policy.as_mut();
    Ok(simulate(run.load, &run.scenario, policy, setup.is_central))
}
