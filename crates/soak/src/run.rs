use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fakes::http::{BookingServer, CallRecord, EngineServer, GenerationRecord};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::callers::{Callers, Ledger};
use crate::chaos::Chaos;
use crate::fleet::{Fleet, FleetLayout};
use crate::operators::Operators;
use crate::promises::{Promise, PromiseReport};

/// Time for answers to come after the load has stopped.
const SETTLE_MS: u64 = 3_000;

/// How a run is made.
#[derive(Debug, Clone)]
pub struct SoakSettings {
    /// The program under test.
    pub binary: PathBuf,
    /// Callers that work at once.
    pub callers: usize,
    /// Length of the run.
    pub duration_s: u64,
    /// Fake engines.
    pub engines: usize,
    /// Instances.
    pub layout: FleetLayout,
    /// Seed of all draws.
    pub seed: u64,
}

/// Runs a fleet under load and faults, and compares the ledgers.
pub async fn run_soak(settings: &SoakSettings) -> PromiseReport {
    let promises = PromiseReport::default();
    let fleet = Fleet::start(&settings.binary, settings.layout).await;
    let callers = Callers::new(
        fleet.instances.iter().map(|i| i.client_address).collect(),
        &promises,
    );
    let operators = Operators::new(
        fleet.instances.iter().map(|i| i.admin_address).collect(),
        &promises,
    );
    let mut chaos = Chaos::start(fleet, &callers, &promises, settings.engines, settings.seed).await;
    operators.set_up().await;
    let mut load = JoinSet::new();
    for number in 0..settings.callers as u64 {
        load.spawn(Arc::clone(&callers).run(settings.seed ^ (number << 32)));
    }
    for number in 1..=2 {
        let operators = Arc::clone(&operators);
        load.spawn(operators.run(settings.seed.wrapping_add(number), Arc::clone(&callers)));
    }
    let end = Instant::now() + Duration::from_secs(settings.duration_s);
    chaos.run(end).await;
    callers.stop.store(true, Ordering::SeqCst);
    load.join_all().await;
    sleep(Duration::from_millis(SETTLE_MS)).await;
    compare(&promises, &callers, &chaos);
    println!(
        "seed {}: {} requests, {} successful, {} faults, {} edits accepted, {} conflicts",
        settings.seed,
        callers.requests.load(Ordering::Relaxed),
        callers.successes.load(Ordering::Relaxed),
        chaos.faults,
        operators.accepted.load(Ordering::Relaxed),
        operators.conflicts.load(Ordering::Relaxed),
    );
    if !promises.all_hold() {
        chaos.fleet.keep_folder();
        println!("logs are kept in {}", chaos.fleet.folder().display());
    }
    promises
}

/// Compares what callers were told with what the endpoints ran.
fn compare(promises: &PromiseReport, callers: &Callers, chaos: &Chaos) {
    let live = chaos.engines.iter().flat_map(EngineServer::ledger);
    let mut generations: Vec<GenerationRecord> =
        live.chain(chaos.gone.generations.clone()).collect();
    generations.sort_by(|a, b| a.prompt.cmp(&b.prompt));
    let live = chaos.bookings.iter().flat_map(BookingServer::ledger);
    let mut runs: Vec<CallRecord> = live.chain(chaos.gone.runs.clone()).collect();
    runs.sort_by(|a, b| a.seat.cmp(&b.seat));
    let ledger = callers.ledger.lock().expect("no caller panicked");
    compare_bookings(promises, &ledger, &runs);
    compare_prompts(promises, &ledger, &generations);
}

fn compare_bookings(promises: &PromiseReport, ledger: &Ledger, runs: &[CallRecord]) {
    let count = |seat: &str| {
        runs.iter()
            .filter(|run| run.seat.as_deref() == Some(seat))
            .count()
    };
    for seat in &ledger.seats {
        let ran = count(seat);
        let violation = (ran > 1).then(|| format!("seat {seat} was booked {ran} times"));
        promises.record(Promise::AtMostOnce, violation);
    }
    for seat in &ledger.seats_not_run {
        let violation = (count(seat) > 0).then(|| format!("seat {seat} was booked"));
        promises.record(Promise::NotRun, violation);
    }
}

fn compare_prompts(promises: &PromiseReport, ledger: &Ledger, generations: &[GenerationRecord]) {
    for prompt in &ledger.prompts_not_run {
        let violation = generations_of(generations, prompt)
            .first()
            .map(|_| format!("`{prompt}` was generated"));
        promises.record(Promise::NotRun, violation);
    }
    for (prompt, tokens) in &ledger.prompts_whole {
        let whole = generations_of(generations, prompt)
            .iter()
            .any(|entry| entry.end.is_some() && entry.tokens == *tokens);
        let violation = (!whole).then(|| format!("`{prompt}` was answered with {tokens} tokens"));
        promises.record(Promise::WholeAnswer, violation);
    }
}

/// Generations of one prompt among those sorted by prompt.
fn generations_of<'a>(sorted: &'a [GenerationRecord], prompt: &str) -> &'a [GenerationRecord] {
    let first = sorted.partition_point(|entry| entry.prompt.as_str() < prompt);
    let last = sorted.partition_point(|entry| entry.prompt.as_str() <= prompt);
    &sorted[first..last]
}
