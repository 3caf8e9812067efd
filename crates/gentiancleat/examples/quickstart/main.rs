//! Runs three instances, two fake engines and a fake booking service in one process, and shows the
//! main features in four steps.
//!
//! `cargo run --release --example quickstart` keeps running after the steps until it is interrupted;
//! `-- --once` exits after them, with 0 if every step succeeded.

mod deployment;
mod tour;

use std::error::Error;
use std::process::ExitCode;

use deployment::Deployment;
use gumdrop::Options;
use tour::Tour;

/// Flags of the quickstart.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "exit after the tour", no_short)]
    once: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    match run(&flags).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(flags: &Flags) -> Result<(), Box<dyn Error>> {
    let deployment = Deployment::open().await?;
    let tour = Tour::new(&deployment);
    tour.run().await?;
    if flags.once {
        return Ok(());
    }
    tour.print_commands();
    tokio::signal::ctrl_c().await?;
    Ok(())
}
