//! Runs dispatch policies side by side on one load; see `docs/EXPERIMENTS.md`.

use std::error::Error;
use std::fs;
use std::path::PathBuf;
use std::thread;

use fakes::baselines::{self, POLICIES};
use fakes::experiment::{Capacity, Fault, LoadFile, Report, Scenario, Summary, run};
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
    duration_s: Option<u64>,
    #[options(no_short, help = "runs at once", default = "3")]
    jobs: usize,
    #[options(no_short, help = "folder for table, CSV and SVG")]
    out: Option<PathBuf>,
}

struct Job {
    load: usize,
    policy: String,
    scenario: Scenario,
}

fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse_args_default_or_exit();
    let loads = read_loads(&flags)?;
    let jobs = plan(&flags, loads.len())?;
    let mut report = Report::default();
    for batch in jobs.chunks(flags.jobs.max(1)) {
        report.summaries.extend(run_batch(&loads, batch)?);
    }
    print!("{}", report.table());
    if let Some(folder) = &flags.out {
        report.write(folder)?;
    }
    Ok(())
}

fn plan(flags: &Flags, loads: usize) -> Result<Vec<Job>, Box<dyn Error>> {
    let all = flags.policies == "all";
    let policies: Vec<&str> = if all {
        POLICIES.to_vec()
    } else {
        list(&flags.policies)
    };
    let mut jobs = Vec::new();
    for load in 0..loads {
        for fault in list(&flags.faults) {
            let fault: Fault = fault.parse()?;
            for load_factor in list(&flags.loads) {
                let load_factor = load_factor.parse()?;
                for seed in list(&flags.seed) {
                    let seed = seed.parse()?;
                    let scenario = Scenario {
                        fault,
                        load_factor,
                        seed,
                    };
                    jobs.extend(policies.iter().map(|policy| Job {
                        load,
                        policy: (*policy).to_owned(),
                        scenario,
                    }));
                }
            }
        }
    }
    Ok(jobs)
}

fn list(text: &str) -> Vec<&str> {
    text.split(',').map(str::trim).collect()
}

fn read_loads(flags: &Flags) -> Result<Vec<LoadFile>, Box<dyn Error>> {
    let mut loads = Vec::new();
    for path in &flags.load {
        let text = fs::read_to_string(path)?;
        let mut load: LoadFile = serde_json::from_str(&text)?;
        load.duration_s = flags.duration_s.unwrap_or(load.duration_s);
        let Capacity {
            batch,
            requests_per_s,
            step_us,
            tokens_per_s,
        } = Capacity::of(&load);
        eprintln!(
            "{}: capacity {requests_per_s:.1} requests/s, {tokens_per_s:.0} tokens/s, batch {batch}, step {:.1} ms",
            load.name,
            step_us / 1e3
        );
        loads.push(load);
    }
    Ok(loads)
}

fn run_batch(loads: &[LoadFile], batch: &[Job]) -> Result<Vec<Summary>, Box<dyn Error>> {
    thread::scope(|scope| {
        let handles: Vec<_> = batch
            .iter()
            .map(|job| scope.spawn(|| run_job(&loads[job.load], job)))
            .collect();
        handles
            .into_iter()
            .map(|handle| handle.join().expect("a run does not panic"))
            .collect::<Result<_, String>>()
    })
    .map_err(Into::into)
}

fn run_job(load: &LoadFile, job: &Job) -> Result<Summary, String> {
    let candidate = baselines::build(&job.policy, job.scenario.seed);
    let mut candidate = candidate.ok_or_else(|| format!("`{}` is no policy", job.policy))?;
    Ok(run(
        load,
        &job.scenario,
        candidate.policy.as_mut(),
        candidate.central,
    ))
}
