//! Command line and settings of the `gentiancleat` binary.

mod check;
mod client;
mod environment;
mod error;
mod metrics_server;
mod options;
mod platform_instance;
mod serve;
mod serve_settings;
mod setting_problem;

use std::process::ExitCode;

use gumdrop::Options;

use crate::error::Error;
use crate::options::{Command, TopOptions};

/// Exit code for wrong arguments, settings or tables.
const EXIT_USAGE: u8 = 2;

/// Runs the command that the arguments name.
///
/// Exits with 0 on success, 1 on failure, and 2 on wrong arguments, settings or tables.
pub fn run(arguments: impl Iterator<Item = String>) -> ExitCode {
    let arguments: Vec<String> = arguments.skip(1).collect();
    let options = match TopOptions::parse_args_default(&arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("gentiancleat: {error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if options.help_requested() {
        print_help(&options);
        return ExitCode::SUCCESS;
    }
    if options.version {
        println!("gentiancleat {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(command) = options.command else {
        eprintln!("gentiancleat: no command; see gentiancleat --help");
        return ExitCode::from(EXIT_USAGE);
    };
    exit_code(execute(command))
}

fn execute(command: Command) -> Result<(), Error> {
    match command {
        Command::Check(options) => check::run(&options),
        Command::Drain(options) => client::drain(&options),
        Command::Endpoints(options) => client::endpoints(&options),
        Command::Instances(options) => client::instances(&options),
        Command::Key(options) => client::key(options.command),
        Command::Platform(options) => platform_instance::run(&options),
        Command::Serve(options) => serve::run(&options),
        Command::Status(options) => client::status(&options),
        Command::Table(options) => client::table(options.command),
    }
}

fn exit_code(result: Result<(), Error>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            match error {
                Error::Failed(_) => ExitCode::FAILURE,
                Error::Usage(_) => ExitCode::from(EXIT_USAGE),
            }
        }
    }
}

fn print_help(options: &TopOptions) {
    let mut help = options as &dyn Options;
    let mut path = "gentiancleat".to_owned();
    while let Some(command) = help.command() {
        path = format!("{path} {}", help.command_name().unwrap_or_default());
        help = command;
    }
    println!("Usage: {path} [OPTIONS]\n\n{}", help.self_usage());
    if let Some(commands) = help.self_command_list() {
        println!("\nCommands:\n{commands}");
    }
}
