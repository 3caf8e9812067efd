//! Runs of the experiment are repeatable and account for every request.

use std::path::PathBuf;

use fakes::baselines::{self, POLICIES};
use fakes::experiment::{LoadFile, Report, RunSummary, Scenario, run};

fn load(name: &str, duration_s: u32) -> LoadFile {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("loads")
        .join(name);
    LoadFile::read(&path, Some(duration_s)).expect("a load file")
}

fn run_once(load: &LoadFile, policy: &str, fault: &str, load_factor: f64) -> RunSummary {
    let scenario = Scenario::new(fault, load_factor, 5).expect("a known fault");
    let mut candidate = baselines::build(policy, scenario.seed()).expect("a known policy");
    run(
        load,
        &scenario,
        candidate.policy.as_mut(),
        candidate.is_central,
    )
}

fn value(summary: &RunSummary, name: &str) -> f64 {
    summary.value(name).expect("a known column")
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let load = load("maracas-ridge.json", 15);
    for policy in POLICIES {
        let first = run_once(&load, policy, "gaps:0.5", 1.0);
        assert_eq!(first, run_once(&load, policy, "gaps:0.5", 1.0));
    }
}

#[test]
fn every_request_has_one_outcome() {
    let load = load("centre.json", 15);
    for policy in POLICIES {
        for fault in ["engine-loss", "flood"] {
            let summary = run_once(&load, policy, fault, 1.3);
            let outcomes = ["completed", "refused", "gave_up", "lost"];
            let total: f64 = outcomes.iter().map(|name| value(&summary, name)).sum();
            assert!(
                value(&summary, "requests").total_cmp(&total).is_eq(),
                "{summary:?}"
            );
            assert!(value(&summary, "completed") > 0.0);
        }
    }
}

#[test]
fn a_lost_engine_loses_generations_only_when_it_dies() {
    let load = load("centre.json", 15);
    assert!(value(&run_once(&load, "round-robin", "engine-loss", 1.0), "lost") > 0.0);
    assert!(value(&run_once(&load, "round-robin", "none", 1.0), "lost") < 1.0);
}

#[test]
fn an_unknown_fault_is_named() {
    let error = Scenario::new("meteor", 1.0, 1).expect_err("unknown");
    assert!(error.to_string().contains("meteor"));
}

#[test]
fn a_report_writes_its_files() {
    let load = load("centre.json", 5);
    let summaries = vec![run_once(&load, "round-robin", "none", 0.8)];
    let folder = std::env::temp_dir().join(format!("experiment-{}", std::process::id()));
    Report { summaries }.write(&folder).expect("files");
    let csv = std::fs::read_to_string(folder.join("summary.csv")).expect("a table");
    assert_eq!(csv.lines().count(), 2);
    assert!(folder.join("centre.svg").exists());
    std::fs::remove_dir_all(folder).expect("a folder of its own");
}
