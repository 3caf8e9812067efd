//! Wrong settings and arguments, as the command line answers them.

use std::fs;
use std::process::{Command, Output};

use tempfile::TempDir;

const GOOD: [&str; 20] = [
    "--name",
    "sofia-1",
    "--region",
    "sofia",
    "--data-centre",
    "sofia-a",
    "--caller-address",
    "127.0.0.1:0",
    "--admin-address",
    "127.0.0.1:0",
    "--endpoint-address",
    "127.0.0.1:0",
    "--inner-address",
    "127.0.0.1:0",
    "--peers",
    "plovdiv-1=127.0.0.1:9",
    "--voters",
    "plovdiv-1",
    "--insecure",
    "yes",
];

fn gentiancleat(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gentiancleat"))
        .args(arguments)
        .env_clear()
        .output()
        .unwrap()
}

fn check(arguments: &[&str]) -> Output {
    gentiancleat(&[&["check", "--"], arguments].concat())
}

fn problems(output: &Output) -> Vec<String> {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn good_settings_have_no_problem() {
    let output = check(&GOOD);
    assert_eq!(output.status.code(), Some(0), "{:?}", problems(&output));
}

#[test]
fn every_problem_is_named_at_once() {
    let output = check(&[
        "--name",
        " bad",
        "--admin-address",
        "here",
        "--roles",
        "king",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let problems = problems(&output);
    for flag in [
        "name",
        "admin-address",
        "roles",
        "caller-address",
        "region",
        "fleet-key",
    ] {
        let found = problems
            .iter()
            .any(|line| line.contains(&format!("--{flag} ")));
        assert!(found, "{flag} is missing in {problems:#?}");
    }
}

#[test]
fn a_voter_needs_a_data_folder_and_addresses_of_the_other_voters() {
    let mut arguments = GOOD;
    arguments[17] = "sofia-1,tarnovo-1";
    let output = check(&arguments);
    assert_eq!(output.status.code(), Some(2));
    let problems = problems(&output).join("\n");
    assert!(problems.contains("--data "), "{problems}");
    assert!(problems.contains("`tarnovo-1`"), "{problems}");
}

#[test]
fn variables_stand_for_flags_and_flags_go_first() {
    let output = Command::new(env!("CARGO_BIN_EXE_gentiancleat"))
        .args(["check", "--"])
        .args(&GOOD[2..])
        .env_clear()
        .env("GENTIANCLEAT_NAME", "sofia-1")
        .env("GENTIANCLEAT_REGION", " never read")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0), "{:?}", problems(&output));
}

#[test]
fn serve_starts_nothing_with_wrong_settings() {
    let output = gentiancleat(&["serve", "--name", "sofia-1"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(problems(&output).len() > 3);
}

#[test]
fn a_table_file_is_checked_without_serving() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("table.csv");
    fs::write(&file, "customer,kind\nForge School,syllabus\n").unwrap();
    let path = file.to_str().unwrap();
    let output = gentiancleat(&[&["check", "--table", path, "--"], &GOOD[..]].concat());
    assert_eq!(output.status.code(), Some(2));
    assert!(
        problems(&output)
            .iter()
            .all(|line| line.contains("table.csv"))
    );
}

#[test]
fn help_names_every_command() {
    let output = gentiancleat(&["--help"]);
    let text = String::from_utf8(output.stdout).unwrap();
    for command in [
        "check",
        "drain",
        "endpoints",
        "instances",
        "key",
        "serve",
        "status",
        "table",
    ] {
        assert!(text.contains(command), "{command} is missing in {text}");
    }
}
