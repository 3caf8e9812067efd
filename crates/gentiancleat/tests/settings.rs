//! Output and exit codes of the command line for valid and invalid settings and arguments.

use std::fs;
use std::process::{Command, Output};

use tempfile::TempDir;

const VALID_ARGUMENTS: [&str; 20] = [
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

fn run_gentiancleat(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gentiancleat"))
        .args(arguments)
        .env_clear()
        .output()
        .unwrap()
}

fn run_check(arguments: &[&str]) -> Output {
    run_gentiancleat(&[&["check", "--"], arguments].concat())
}

fn problem_lines(output: &Output) -> Vec<String> {
    let text = String::from_utf8(output.stderr.clone()).unwrap();
    text.lines().map(str::to_owned).collect()
}

#[test]
fn valid_settings_have_no_problem() {
    let output = run_check(&VALID_ARGUMENTS);
    assert_eq!(
        output.status.code(),
        Some(0),
        "{:?}",
        problem_lines(&output)
    );
}

#[test]
fn check_reports_all_problems() {
    let output = run_check(&[
        "--name",
        " bad",
        "--admin-address",
        "here",
        "--roles",
        "king",
    ]);
    assert_eq!(output.status.code(), Some(2));
    let problems = problem_lines(&output);
    for flag in [
        "name",
        "admin-address",
        "roles",
        "caller-address",
        "region",
        "fleet-key",
    ] {
        let is_reported = problems
            .iter()
            .any(|line| line.contains(&format!("--{flag} ")));
        assert!(is_reported, "{flag} is missing in {problems:#?}");
    }
}

#[test]
fn a_voter_needs_a_data_folder_and_addresses_of_the_other_voters() {
    let mut arguments = VALID_ARGUMENTS;
    arguments[17] = "sofia-1,tarnovo-1";
    let output = run_check(&arguments);
    assert_eq!(output.status.code(), Some(2));
    let problems = problem_lines(&output).join("\n");
    assert!(problems.contains("--data "), "{problems}");
    assert!(problems.contains("`tarnovo-1`"), "{problems}");
}

#[test]
fn variables_replace_missing_flags_and_flags_override_variables() {
    let output = Command::new(env!("CARGO_BIN_EXE_gentiancleat"))
        .args(["check", "--"])
        .args(&VALID_ARGUMENTS[2..])
        .env_clear()
        .env("GENTIANCLEAT_NAME", "sofia-1")
        .env("GENTIANCLEAT_REGION", " never read")
        .output()
        .unwrap();
    assert_eq!(
        output.status.code(),
        Some(0),
        "{:?}",
        problem_lines(&output)
    );
}

#[test]
fn serve_exits_with_invalid_settings() {
    let output = run_gentiancleat(&["serve", "--name", "sofia-1"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(problem_lines(&output).len() > 3);
}

#[test]
fn check_reports_problems_of_a_table_file() {
    let folder = TempDir::new().unwrap();
    let file = folder.path().join("table.csv");
    fs::write(&file, "customer,kind\nForge School,syllabus\n").unwrap();
    let path = file.to_str().unwrap();
    let output =
        run_gentiancleat(&[&["check", "--table", path, "--"], &VALID_ARGUMENTS[..]].concat());
    assert_eq!(output.status.code(), Some(2));
    assert!(
        problem_lines(&output)
            .iter()
            .all(|line| line.contains("table.csv"))
    );
}

#[test]
fn help_lists_the_commands() {
    let output = run_gentiancleat(&["--help"]);
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
