//! Measures the latency and throughput of tokens that an entry relays.
//!
//! The engine, the entry and the load are three processes of this program on loopback, so that the
//! memory and CPU time of the entry can be read separately. The engine writes the time into each
//! token. The load subtracts it from the time of arrival, once for streams directly from the engine
//! and once for streams through the entry.
//!
//! Run with `cargo run --release -p entry --example relay`. An argument after `--` selects one
//! part: cores, requests, tokens, memory or throughput.

mod child_process;
mod cores;
mod engine;
mod fixed_dependencies;
mod load;
mod report;

use std::env;
use std::net::SocketAddr;

use child_process::ChildProcess;

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("engine") => engine::serve().await,
        Some("entry") => fixed_dependencies::serve(address(&arguments[1])).await,
        Some(part) => measure(part).await,
        None => measure("all").await,
    }
}

fn address(text: &str) -> SocketAddr {
    text.parse().expect("address is not in the form ip:port")
}

/// Runs the measurement named `part`, or every one for `all`.
async fn measure(part: &str) {
    let is_selected = |name| part == name || part == "all";
    if is_selected("cores") {
        cores::measure();
    }
    let engine = ChildProcess::start(&["engine"]);
    let entry = ChildProcess::start(&["entry", &engine.address.to_string()]);
    if is_selected("requests") {
        report::requests(&engine, &entry).await;
    }
    if is_selected("tokens") {
        for (count, interval_us) in [(50, 20_000), (200, 20_000), (1_000, 34_000)] {
            report::tokens(&engine, &entry, count, interval_us).await;
        }
    }
    if is_selected("memory") {
        report::memory(&engine.address.to_string()).await;
    }
    if !is_selected("throughput") {
        return;
    }
    for (count, interval_us) in [(2_000, 20_000), (4_000, 20_000), (64, 0)] {
        report::throughput(&entry, count, interval_us).await;
    }
}
