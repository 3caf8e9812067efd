//! Runs a fleet under load and faults, and prints the checks and violations of each promise.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use soak::{FleetLayout, SoakSettings, run_soak};

/// Flags of the soak run.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this text")]
    help: bool,
    #[options(
        help = "executable under test",
        default = "target/release/gentiancleat",
        no_short
    )]
    binary: PathBuf,
    #[options(help = "number of concurrent clients", default = "24", no_short)]
    callers: usize,
    #[options(help = "seconds of load and faults", default = "60", no_short)]
    duration_s: u64,
    #[options(help = "number of fake engines", default = "10", no_short)]
    engines: usize,
    #[options(help = "number of instances", default = "9", no_short)]
    instances: usize,
    #[options(help = "number of regions", default = "3", no_short)]
    regions: usize,
    #[options(help = "seed of all random choices", default = "1", no_short)]
    seed: u64,
    #[options(
        help = "number of voters, which have a data folder",
        default = "5",
        no_short
    )]
    voters: usize,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = Flags::parse_args_default_or_exit();
    let settings = SoakSettings {
        binary: flags.binary,
        clients: flags.callers,
        duration_s: flags.duration_s,
        engines: flags.engines,
        layout: FleetLayout {
            instances: flags.instances,
            regions: flags.regions,
            voters: flags.voters,
        },
        seed: flags.seed,
    };
    let report = run_soak(&settings).await;
    print!("{report}");
    if report.all_hold() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
