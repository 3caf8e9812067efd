//! Entry point of the `gentiancleat` binary.

fn main() -> std::process::ExitCode {
    gentiancleat::run(std::env::args())
}
