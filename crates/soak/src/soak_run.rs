use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fakes::http::{BookingServer, CallRecord, EngineServer, GenerationRecord};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::clients::{ClientLedger, Clients};
use crate::fault_injector::FaultInjector;
use crate::fleet::{Fleet, FleetLayout};
use crate::operators::Operators;
use crate::promise_report::{Promise, PromiseReport};

/// Time for which requests that are still in flight may end after the load has stopped.
const IN_FLIGHT_WAIT_MS: u64 = 3_000;

/// Settings of one soak run.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// Path of the executable under test.
    pub binary: PathBuf,
    /// Number of concurrent clients.
    pub clients: usize,
    /// Time during which load and faults are generated.
    pub duration_s: u64,
    /// Number of fake engines.
    pub engines: usize,
    /// Number of instances, regions and voters.
    pub layout: FleetLayout,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Runs a fleet under load and faults, and checks every promise.
///
/// The logs are kept if a promise does not hold.
pub async fn run_soak(settings: &SoakSettings) -> PromiseReport {
    let report = PromiseReport::default();
    let fleet = Fleet::start(&settings.binary, settings.layout).await;
    let clients = Clients::new(
        fleet.instances.iter().map(|i| i.client_address).collect(),
        &report,
    );
    let operators = Operators::new(
        fleet.instances.iter().map(|i| i.admin_address).collect(),
        &report,
    );
    let mut injector =
        FaultInjector::start(fleet, &clients, &report, settings.engines, settings.seed).await;
    operators.create_kinds_and_rows().await;
    let mut load = JoinSet::new();
    for number in 0..settings.clients as u64 {
        load.spawn(Arc::clone(&clients).run(settings.seed ^ (number << 32)));
    }
    for number in 1..=2 {
        let operators = Arc::clone(&operators);
        load.spawn(operators.run(settings.seed.wrapping_add(number), Arc::clone(&clients)));
    }
    let end = Instant::now() + Duration::from_secs(settings.duration_s);
    injector.run_until(end).await;
    clients.is_stopped.store(true, Ordering::SeqCst);
    load.join_all().await;
    sleep(Duration::from_millis(IN_FLIGHT_WAIT_MS)).await;
    check_ledgers(&report, &clients, &injector);
    println!(
        "seed {}: {} requests, {} successful, {} faults, {} edits accepted, {} conflicts",
        settings.seed,
        clients.requests.load(Ordering::Relaxed),
        clients.successes.load(Ordering::Relaxed),
        injector.faults,
        operators.accepted_edits.load(Ordering::Relaxed),
        operators.conflicts.load(Ordering::Relaxed),
    );
    if !report.all_hold() {
        injector.fleet.keep_folder();
        println!("logs are kept in {}", injector.fleet.folder().display());
    }
    report
}

/// Compares the responses that clients received with the ledgers of all endpoints.
fn check_ledgers(report: &PromiseReport, clients: &Clients, injector: &FaultInjector) {
    let running = injector.engines.iter().flat_map(EngineServer::ledger);
    let stopped = injector.stopped_ledgers.generations.clone();
    let mut generations: Vec<GenerationRecord> = running.chain(stopped).collect();
    generations.sort_by(|a, b| a.prompt.cmp(&b.prompt));
    let running = injector.bookings.iter().flat_map(BookingServer::ledger);
    let stopped = injector.stopped_ledgers.bookings.clone();
    let mut bookings: Vec<CallRecord> = running.chain(stopped).collect();
    bookings.sort_by(|a, b| a.seat.cmp(&b.seat));
    let ledger = clients.ledger.lock().expect("no client panicked");
    check_bookings(report, &ledger, &bookings);
    check_prompts(report, &ledger, &generations);
}

fn check_bookings(report: &PromiseReport, ledger: &ClientLedger, bookings: &[CallRecord]) {
    let count = |seat: &str| {
        bookings
            .iter()
            .filter(|booking| booking.seat.as_deref() == Some(seat))
            .count()
    };
    for seat in &ledger.seats {
        let times = count(seat);
        let violation = (times > 1).then(|| format!("seat {seat} was booked {times} times"));
        report.record(Promise::AtMostOnce, violation);
    }
    for seat in &ledger.seats_not_run {
        let violation = (count(seat) > 0).then(|| format!("seat {seat} was booked"));
        report.record(Promise::NotRun, violation);
    }
}

fn check_prompts(report: &PromiseReport, ledger: &ClientLedger, generations: &[GenerationRecord]) {
    for prompt in &ledger.prompts_not_run {
        let violation = generations_of_prompt(generations, prompt)
            .first()
            .map(|_| format!("`{prompt}` was generated"));
        report.record(Promise::NotRun, violation);
    }
    for (prompt, tokens) in &ledger.completed_prompts {
        let is_whole = generations_of_prompt(generations, prompt)
            .iter()
            .any(|entry| entry.end.is_some() && entry.tokens == *tokens);
        let violation =
            (!is_whole).then(|| format!("`{prompt}` was answered with {tokens} tokens"));
        report.record(Promise::WholeAnswer, violation);
    }
}

/// Returns the generations of one prompt from a slice sorted by prompt.
fn generations_of_prompt<'a>(
    sorted: &'a [GenerationRecord],
    prompt: &str,
) -> &'a [GenerationRecord] {
    let first = sorted.partition_point(|entry| entry.prompt.as_str() < prompt);
    let end = sorted.partition_point(|entry| entry.prompt.as_str() <= prompt);
    &sorted[first..end]
}
