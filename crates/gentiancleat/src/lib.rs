//! Command line and settings of the one binary.

mod options;
mod problem;
mod serve_settings;
mod source;

use std::process::ExitCode;

/// Runs the command that the arguments name.
pub fn run(arguments: impl Iterator<Item = String>) -> ExitCode {
    drop(arguments);
    ExitCode::SUCCESS
}
