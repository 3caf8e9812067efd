//! The simulation is deterministic and gives each request exactly one outcome.

use std::path::PathBuf;

use fakes::baselines::{self, POLICIES};
use fakes::experiment::{LoadFile, Report, RunSummary, Scenario, simulate};

fn read_load(name: &str, duration_s: u32) -> LoadFile {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("loads")
        .join(name);
    LoadFile::read(&path, Some(duration_s)).expect("a load file")
}

fn simulate_scenario(
    load_file: &LoadFile,
    policy: &str,
    fault: &str,
    load_factor: f64,
) -> RunSummary {
    let scenario = Scenario::new(fault, load_factor, 5).expect("a known fault");
    let mut setup = baselines::build(policy, scenario.seed()).expect("a known policy");
    simulate(
        load_file,
        &scenario,
        setup.policy.as_mut(),
        setup.is_central,
    )
}

fn column_value(summary: &RunSummary, name: &str) -> f64 {
    summary.value(name).expect("a known column")
}

#[test]
fn a_scenario_gives_the_same_results_in_each_run() {
    let load_file = read_load("maracas-ridge.json", 15);
    for policy in POLICIES {
        let first = simulate_scenario(&load_file, policy, "gaps:0.5", 1.0);
        assert_eq!(
            first,
            simulate_scenario(&load_file, policy, "gaps:0.5", 1.0)
        );
    }
}

#[test]
fn each_request_has_exactly_one_outcome() {
    let load_file = read_load("centre.json", 15);
    for policy in POLICIES {
        for fault in ["engine-loss", "flood"] {
            let summary = simulate_scenario(&load_file, policy, fault, 1.3);
            let outcomes = ["completed", "refused", "gave_up", "lost"];
            let total: f64 = outcomes
                .iter()
                .map(|name| column_value(&summary, name))
                .sum();
            assert!(
                column_value(&summary, "requests").total_cmp(&total).is_eq(),
                "{summary:?}"
            );
            assert!(column_value(&summary, "completed") > 0.0);
        }
    }
}

#[test]
fn generations_are_lost_only_if_an_engine_fails() {
    let load_file = read_load("centre.json", 15);
    assert!(
        column_value(
            &simulate_scenario(&load_file, "round-robin", "engine-loss", 1.0),
            "lost"
        ) > 0.0
    );
    assert!(
        column_value(
            &simulate_scenario(&load_file, "round-robin", "none", 1.0),
            "lost"
        ) < 1.0
    );
}

#[test]
fn an_unknown_fault_is_named_in_the_error() {
    let error = Scenario::new("meteor", 1.0, 1).expect_err("unknown");
    assert!(error.to_string().contains("meteor"));
}

#[test]
fn a_report_writes_a_csv_file_and_a_plot() {
    let load_file = read_load("centre.json", 5);
    let summaries = vec![simulate_scenario(&load_file, "round-robin", "none", 0.8)];
    let folder = std::env::temp_dir().join(format!("experiment-{}", std::process::id()));
    Report { summaries }.write(&folder).expect("files");
    let csv = std::fs::read_to_string(folder.join("summary.csv")).expect("a table");
    assert_eq!(csv.lines().count(), 2);
    assert!(folder.join("centre.svg").exists());
    std::fs::remove_dir_all(folder).expect("a folder of its own");
}
