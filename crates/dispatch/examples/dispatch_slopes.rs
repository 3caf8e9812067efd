//! Measures the time of one decision and the memory of a dispatcher, against replicas, queued
//! requests and rows.
//!
//! A decision is one event with all grants and refusals that follow: a request, the end of a
//! permit, or a progress report. Each line gives the median and the 99th percentile of its time.

use std::hint::black_box;
use std::time::{Duration, Instant};

use dispatch::{
    Action, CustomerIndex, Demand, Dispatcher, EndpointProfile, Event, KindIndex, ModelIndex,
    PermitEnd, Policy, RegionIndex, RowLimits, Settings,
};
use names::{EndpointId, PermitId, RequestId};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};

const KINDS: u32 = 3;
const PROMPT_BLOCKS: u64 = 40;
const ROUNDS: u32 = 20_000;
const USUAL: Size = Size {
    customers: 37_000,
    queued: 10_000,
    replicas: 32,
};

/// Size of a measured shard.
#[derive(Debug, Clone, Copy)]
struct Size {
    customers: u32,
    queued: u32,
    replicas: u32,
}

/// Dispatcher under measurement, with the permits that it granted.
struct Bench {
    actions: Vec<Action>,
    dispatcher: Dispatcher,
    now_us: u64,
    requests: u64,
    rng: Xoshiro256PlusPlus,
    running: Vec<PermitId>,
    size: Size,
    /// Time spent in the dispatcher.
    spent: Duration,
}

impl Bench {
    fn new(size: Size) -> Self {
        let mut bench = Self {
            actions: Vec::new(),
            dispatcher: Dispatcher::new(Settings::default(), 1),
            now_us: 0,
            requests: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(2),
            running: Vec::new(),
            size,
            spent: Duration::ZERO,
        };
        bench.set_limits();
        bench.announce(&profile());
        bench
    }

    fn announce(&mut self, profile: &EndpointProfile) {
        for replica in 0..self.size.replicas {
            let endpoint = EndpointId(u64::from(replica));
            self.handle(Event::EndpointAnnounced { endpoint, profile });
        }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn demand(&mut self) -> Demand {
        let customers = u64::from(self.size.customers);
        let customer = u32::try_from(self.below(customers)).expect("a customer fits a u32");
        let template = self.below(1_000) << 32;
        let unique = self.rng.next_u64();
        let blocks = 0..PROMPT_BLOCKS;
        let hash = |block| template + block + if block < 32 { 0 } else { unique };
        Demand {
            customer: CustomerIndex(customer),
            deadline_us: u64::MAX,
            kind: KindIndex(customer % KINDS),
            max_tokens: 4_096,
            model: ModelIndex(0),
            prefix_hashes: blocks.map(hash).collect(),
            prompt_tokens: 640,
            region: RegionIndex(0),
            urgent: false,
        }
    }

    fn fill(&mut self) {
        let queued_max = self.size.queued as usize;
        let mut sent = 0;
        while self.dispatcher.queued_requests() < queued_max && sent < 10 * queued_max + 50_000 {
            self.request();
            sent += 1;
        }
    }

    fn end_random_permit(&mut self) {
        if self.running.is_empty() {
            return;
        }
        let index = self.below(self.running.len() as u64);
        let permit = self
            .running
            .swap_remove(usize::try_from(index).expect("the index fits a usize"));
        let generated_tokens = u32::try_from(self.below(800) + 1).expect("the length fits a u32");
        self.handle(Event::PermitEnded {
            end: PermitEnd::Completed,
            generated_tokens,
            permit,
        });
    }

    fn handle(&mut self, event: Event<'_>) {
        self.now_us += 50;
        let start = Instant::now();
        self.dispatcher
            .handle(self.now_us, event, &mut self.actions);
        self.spent += start.elapsed();
        for action in self.actions.drain(..) {
            if let Action::Grant { permit, .. } = black_box(action) {
                self.running.push(permit);
            }
        }
    }

    fn request(&mut self) {
        let demand = self.demand();
        let request = RequestId(self.requests);
        self.requests += 1;
        self.handle(Event::RequestArrived {
            demand: &demand,
            request,
        });
    }

    fn measure_decisions(&mut self) -> (Vec<Duration>, Vec<Duration>) {
        let (mut requests, mut ends) = (Vec::new(), Vec::new());
        for _ in 0..ROUNDS {
            self.spent = Duration::ZERO;
            self.request();
            requests.push(self.spent);
            self.spent = Duration::ZERO;
            self.end_random_permit();
            ends.push(self.spent);
        }
        (requests, ends)
    }

    fn measure_progress(&mut self) -> Vec<Duration> {
        let permits = self.running.clone();
        let mut reports = Vec::new();
        for (turn, &permit) in (1..=ROUNDS).zip(permits.iter().cycle()) {
            self.spent = Duration::ZERO;
            self.handle(Event::GenerationProgressed {
                generated_tokens: turn / 512 + 1,
                permit,
            });
            reports.push(self.spent);
        }
        reports
    }

    fn set_limits(&mut self) {
        let limits: Vec<RowLimits> = (0..self.size.customers)
            .flat_map(|customer| (0..KINDS).map(move |kind| (customer, kind)))
            .map(|(customer, kind)| RowLimits {
                customer: CustomerIndex(customer),
                kind: KindIndex(kind),
                priority: 0,
                queued_max: 1_000_000,
                queueing_ms_max: 1_000_000_000,
                running_max: 1_000_000,
                tokens_per_second_max: None,
                urgent_share: 0.5,
                weight: 1.0,
            })
            .collect();
        self.handle(Event::LimitsChanged { limits: &limits });
    }
}

fn profile() -> EndpointProfile {
    EndpointProfile {
        block_tokens: 16,
        memory_tokens: 65_536,
        model: ModelIndex(0),
        region: RegionIndex(0),
        sequences_max: 96,
    }
}

fn measure(size: Size) {
    let mut bench = Bench::new(size);
    bench.fill();
    let (requests, ends) = bench.measure_decisions();
    let progress = bench.measure_progress();
    println!(
        "replicas={} queued={} rows={} running={} request_us={} end_us={} progress_us={}",
        size.replicas,
        bench.dispatcher.queued_requests(),
        size.customers * KINDS,
        bench.running.len(),
        quantiles_us(requests),
        quantiles_us(ends),
        quantiles_us(progress),
    );
}

/// Median and 99th percentile. Other load on the machine has little effect on the median.
fn quantiles_us(mut spent: Vec<Duration>) -> String {
    if spent.is_empty() {
        return "none".to_owned();
    }
    spent.sort_unstable();
    let us = |percent: usize| spent[(spent.len() - 1) * percent / 100].as_secs_f64() * 1e6;
    format!("{:.1}/{:.1}", us(50), us(99))
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages = statm
        .split_ascii_whitespace()
        .nth(1)
        .expect("statm has two fields");
    pages.parse::<u64>().expect("the size is a number") * PAGE_BYTES
}

fn measure_memory() {
    let initial_bytes = resident_bytes();
    let mut bench = Bench::new(USUAL);
    let rows = u64::from(USUAL.customers * KINDS);
    let bytes_with_rows = resident_bytes();
    println!("bytes_per_row={}", (bytes_with_rows - initial_bytes) / rows);
    bench.fill();
    bench.size.queued = 110_000;
    let (bytes_before, queued_before) =
        (resident_bytes(), bench.dispatcher.queued_requests() as u64);
    bench.fill();
    let queued = bench.dispatcher.queued_requests() as u64 - queued_before;
    println!(
        "bytes_per_queued_request={}",
        (resident_bytes() - bytes_before) / queued.max(1)
    );
    let mut single_replica = Bench::new(Size {
        customers: 10,
        queued: 0,
        replicas: 1,
    });
    single_replica.announce(&EndpointProfile {
        memory_tokens: 1 << 40,
        sequences_max: 1_000_000,
        block_tokens: 0,
        ..profile()
    });
    let bytes_before = resident_bytes();
    for _ in 0..100_000 {
        single_replica.request();
    }
    let permits = single_replica.running.len() as u64;
    println!(
        "bytes_per_permit={} permits={permits}",
        (resident_bytes() - bytes_before) / permits
    );
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("usual") {
        return measure(USUAL);
    }
    measure_memory();
    for replicas in [1, 4, 16, 32, 64, 128, 256] {
        measure(Size { replicas, ..USUAL });
    }
    for queued in [0, 1_000, 10_000, 100_000] {
        measure(Size { queued, ..USUAL });
    }
    for customers in [10, 1_000, 10_000, 37_000] {
        measure(Size { customers, ..USUAL });
    }
}
