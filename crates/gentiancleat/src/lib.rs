//! Command line, settings and wiring of the one binary.

use std::process::ExitCode;

/// Runs the command that the arguments name.
pub fn run(arguments: impl Iterator<Item = String>) -> ExitCode {
    drop(arguments);
    ExitCode::SUCCESS
}
