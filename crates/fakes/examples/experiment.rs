//! Runs dispatch policies side by side on one load; see `docs/EXPERIMENTS.md`.

use std::error::Error;
use std::path::PathBuf;
use std::thread;

use fakes::baselines::{self, POLICIES};
use fakes::experiment::{Capacity, LoadFile, Report, RunSummary, Scenario, run};
use gumdrop::Options;

/// Flags of the experiment.
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

struct Job<'a> {
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
    let jobs = plan(&flags, &loads)?;
    let mut report = Report::default();
    for batch in jobs.chunks(flags.jobs.max(1)) {
        report.summaries.extend(run_batch(batch)?);
    }
    for load in &loads {
        eprintln!("{}: {:?}", load.name(), Capacity::of(load));
    }
    print!("{}", report.table());
    if let Some(folder) = &flags.out {
        report.write(folder)?;
    }
    Ok(())
}

fn plan<'a>(flags: &'a Flags, loads: &'a [LoadFile]) -> Result<Vec<Job<'a>>, Box<dyn Error>> {
    let all = flags.policies == "all";
    let policies = if all {
        POLICIES.to_vec()
    } else {
        list(&flags.policies)
    };
    let mut scenarios = Vec::new();
    for fault in list(&flags.faults) {
        for load_factor in list(&flags.loads) {
            for seed in list(&flags.seed) {
                scenarios.push(Scenario::new(fault, load_factor.parse()?, seed.parse()?)?);
            }
        }
    }
    let mut jobs = Vec::new();
    for load in loads {
        for scenario in &scenarios {
            jobs.extend(policies.iter().map(|policy| Job {
                load,
                policy,
                scenario: scenario.clone(),
            }));
        }
    }
    Ok(jobs)
}

fn list(text: &str) -> Vec<&str> {
    text.split(',').map(str::trim).collect()
}

fn run_batch(batch: &[Job<'_>]) -> Result<Vec<RunSummary>, String> {
    thread::scope(|scope| {
        let start = |job| scope.spawn(move || run_job(job));
        let handles: Vec<_> = batch.iter().map(start).collect();
        let join = |handle: thread::ScopedJoinHandle<'_, _>| handle.join().expect("no run panics");
        handles.into_iter().map(join).collect()
    })
}

fn run_job(job: &Job<'_>) -> Result<RunSummary, String> {
    let candidate = baselines::build(job.policy, job.scenario.seed());
    let mut candidate = candidate.ok_or_else(|| format!("`{}` is no policy", job.policy))?;
    let policy = candidate.policy.as_mut();
    Ok(run(job.load, &job.scenario, policy, candidate.is_central))
}
