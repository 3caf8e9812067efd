//! Starts the command line.

fn main() -> std::process::ExitCode {
    gentiancleat::run(std::env::args())
}
