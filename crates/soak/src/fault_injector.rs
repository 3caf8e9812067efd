//! Injects faults that a seed chooses into instances and endpoints.

use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use fakes::engine::EngineSettings;
use fakes::http::{
    AnnouncementSettings, BookingServer, BookingSettings, CallRecord, EngineServer,
    EngineServerSettings, Fault, FaultRequest, GenerationLength, GenerationRecord,
};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::clients::{CUSTOMER, Clients, MODEL, SERVICE};
use crate::fleet::Fleet;
use crate::http_client::HttpClient;
use crate::promise_report::{Promise, PromiseReport};

const BOOKING_SERVERS: usize = 3;
const COMPLETION_MEDIAN_TOKENS: u32 = 200;
const ENGINE_SPEED_FACTOR: f64 = 3.0;

/// Time after which a leaving engine must receive no new generation, and duration of the check.
const LEAVING_MS: u64 = 3_000;

const READY_POLL_MS: u64 = 100;
const READY_TIMEOUT_MS: u64 = 60_000;
const STREAM_START_MS: u64 = 100;
const STREAMS_DURING_DRAIN: usize = 6;

/// A fleet and its fake endpoints, with the random generator that chooses their faults.
pub(crate) struct FaultInjector {
    pub(crate) bookings: Vec<BookingServer>,
    clients: Arc<Clients>,
    endpoint_starts: u64,
    pub(crate) engines: Vec<EngineServer>,
    /// Number of faults injected.
    pub(crate) faults: u64,
    pub(crate) fleet: Fleet,
    random: Xoshiro256PlusPlus,
    report: PromiseReport,
    pub(crate) stopped_ledgers: StoppedLedgers,
}

/// Ledgers of the endpoints that were stopped during the run.
#[derive(Debug, Default)]
pub(crate) struct StoppedLedgers {
    pub(crate) bookings: Vec<CallRecord>,
    pub(crate) generations: Vec<GenerationRecord>,
}

impl FaultInjector {
    /// Starts `engines` fake engines and the fake booking servers.
    pub(crate) async fn start(
        fleet: Fleet,
        clients: &Arc<Clients>,
        report: &PromiseReport,
        engines: usize,
        seed: u64,
    ) -> Self {
        let mut injector = Self {
            bookings: Vec::new(),
            clients: Arc::clone(clients),
            endpoint_starts: 0,
            engines: Vec::new(),
            faults: 0,
            fleet,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            report: report.clone(),
            stopped_ledgers: StoppedLedgers::default(),
        };
        for number in 0..engines {
            let engine = injector.start_engine(number).await;
            injector.engines.push(engine);
        }
        for number in 0..BOOKING_SERVERS {
            let booking = injector.start_booking_server(number).await;
            injector.bookings.push(booking);
        }
        injector
    }

    /// Injects and clears one fault after another until `end`, then waits for readiness.
    pub(crate) async fn run_until(&mut self, end: Instant) {
        self.wait_until_ready().await;
        while Instant::now() < end {
            self.faults += 1;
            let fault = self.random.random_range(0..14);
            eprintln!("{:?} fault {fault} begins", SystemTime::now());
            match fault {
                0 => self.kill_instances(1).await,
                1 => self.kill_instances(2).await,
                2 => self.remove_voter_data().await,
                3 => self.suspend_instance().await,
                4 => self.block_instance().await,
                5 | 6 => self.inject_engine_fault().await,
                7 => self.kill_engine().await,
                8 | 11 => self.inject_booking_fault().await,
                9 | 10 => self.make_engine_leave().await,
                _ => self.drain_instance().await,
            }
            let pause_ms = self.random.random_range(0..2_000);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        self.wait_until_ready().await;
    }

    /// Blocks the connections of other instances to one instance, then unblocks them.
    async fn block_instance(&mut self) {
        let number = self.random.random_range(0..self.fleet.instances.len());
        self.fleet.instances[number].proxy.set_blocked(true);
        self.sleep_random(500..9_000).await;
        self.fleet.instances[number].proxy.set_blocked(false);
    }

    /// Drains an instance with streams in flight, checks that all end whole, and restarts it.
    async fn drain_instance(&mut self) {
        self.wait_until_ready().await;
        let number = self.random.random_range(0..self.fleet.instances.len());
        let address = self.fleet.instances[number].client_address;
        let mut streams = JoinSet::new();
        for _ in 0..STREAMS_DURING_DRAIN {
            let clients = Arc::clone(&self.clients);
            streams.spawn(async move {
                let http = HttpClient::new(CUSTOMER);
                clients.complete_prompt(&http, address, true).await
            });
        }
        sleep(Duration::from_millis(STREAM_START_MS)).await;
        let code = self.fleet.drain(number).await;
        let whole = streams
            .join_all()
            .await
            .into_iter()
            .filter(|is_whole| *is_whole)
            .count();
        let violation = (code != Some(0) || whole < STREAMS_DURING_DRAIN).then(|| {
            format!("exit code {code:?}, {whole} of {STREAMS_DURING_DRAIN} streams whole")
        });
        self.report.record(Promise::PlannedStop, violation);
        self.fleet.start_instance(number);
    }

    async fn inject_booking_fault(&mut self) {
        let number = self.random.random_range(0..self.bookings.len());
        let faults = [
            Fault::LoseAnswer,
            Fault::FailAfterRun,
            Fault::Refuse,
            Fault::Stall,
        ];
        let fault = faults[self.random.random_range(0..faults.len())];
        self.bookings[number].faults().set(FaultRequest {
            fault: Some(fault),
            times: None,
        });
        self.sleep_random(500..3_000).await;
        self.bookings[number].faults().set(FaultRequest::default());
    }

    async fn inject_engine_fault(&mut self) {
        let number = self.random.random_range(0..self.engines.len());
        let token = self.random.random_range(0..40);
        let faults = [
            Fault::Cut(token),
            Fault::DuplicateToken(token),
            Fault::MalformedEvent(token),
            Fault::Refuse,
            Fault::Silence,
            Fault::Stall,
            Fault::Truncate(token),
            Fault::WrongId(token),
            Fault::WrongIndex(token),
        ];
        let fault = faults[self.random.random_range(0..faults.len())];
        self.engines[number].faults().set(FaultRequest {
            fault: Some(fault),
            times: None,
        });
        self.sleep_random(500..4_000).await;
        self.engines[number].faults().set(FaultRequest::default());
    }

    /// Kills an engine and starts its next incarnation later.
    async fn kill_engine(&mut self) {
        let number = self.random.random_range(0..self.engines.len());
        self.engines[number].kill();
        self.sleep_random(0..3_000).await;
        self.restart_engine(number).await;
    }

    /// Kills `count` instances with successive numbers and restarts them later.
    async fn kill_instances(&mut self, count: usize) {
        let first = self.random.random_range(0..self.fleet.instances.len());
        let numbers: Vec<usize> = (0..count)
            .map(|step| (first + step) % self.fleet.instances.len())
            .collect();
        for &number in &numbers {
            self.fleet.kill(number);
        }
        self.sleep_random(100..6_000).await;
        for &number in &numbers {
            self.fleet.start_instance(number);
        }
    }

    /// Lets an engine announce that it leaves, and checks that it receives no new generation.
    ///
    /// In half of the cases one instance is blocked at the same time.
    async fn make_engine_leave(&mut self) {
        let number = self.random.random_range(0..self.engines.len());
        let instance = self.random.random_range(0..self.fleet.instances.len());
        let is_blocked = self.random.random_bool(0.5);
        self.fleet.instances[instance].proxy.set_blocked(is_blocked);
        self.engines[number].announce_leaving();
        sleep(Duration::from_millis(LEAVING_MS)).await;
        let before = self.engines[number].ledger().len();
        sleep(Duration::from_millis(LEAVING_MS)).await;
        let after = self.engines[number].ledger().len();
        let violation = (after > before).then(|| {
            format!(
                "engine-{number} started {} generations after {LEAVING_MS} ms",
                after - before
            )
        });
        self.report.record(Promise::Leaving, violation);
        self.fleet.instances[instance].proxy.set_blocked(false);
        self.restart_engine(number).await;
    }

    fn next_announcement_settings(&mut self, name: &str, number: usize) -> AnnouncementSettings {
        self.endpoint_starts += 1;
        let instance = &self.fleet.instances[number % self.fleet.instances.len()];
        AnnouncementSettings {
            data_centre: format!("{}-1", instance.region),
            incarnation: self.endpoint_starts,
            instances: self.fleet.endpoint_addresses(),
            name: name.to_owned(),
            region: instance.region.clone(),
        }
    }

    /// Removes a voter's data folder; once the fleet is ready again, kills the next voter.
    async fn remove_voter_data(&mut self) {
        self.wait_until_ready().await;
        let voters = self.fleet.instances.iter().filter(|i| i.is_voter).count();
        let first = self.random.random_range(0..voters);
        self.fleet.kill(first);
        self.fleet.remove_data(first).expect("a data folder");
        self.fleet.start_instance(first);
        self.wait_until_ready().await;
        let second = (first + 1) % voters;
        self.fleet.kill(second);
        self.sleep_random(100..3_000).await;
        self.fleet.start_instance(second);
    }

    async fn restart_engine(&mut self, number: usize) {
        self.engines[number].kill();
        let ledger = self.engines[number].ledger();
        self.stopped_ledgers.generations.extend(ledger);
        self.engines[number] = self.start_engine(number).await;
    }

    async fn sleep_random(&mut self, range_ms: Range<u64>) {
        let pause_ms = self.random.random_range(range_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    async fn start_booking_server(&mut self, number: usize) -> BookingServer {
        let settings = BookingSettings {
            address: ([127, 0, 0, 1], 0).into(),
            announcement: self.next_announcement_settings(&format!("booking-{number}"), number),
            call_ms: 5,
            calls_max: 64,
            service: SERVICE.to_owned(),
        };
        BookingServer::spawn(settings).await.expect("a free port")
    }

    async fn start_engine(&mut self, number: usize) -> EngineServer {
        let defaults = EngineSettings::default();
        let settings = EngineServerSettings {
            address: ([127, 0, 0, 1], 0).into(),
            announcement: self.next_announcement_settings(&format!("engine-{number}"), number),
            checks_fencing: number.is_multiple_of(2),
            engine: EngineSettings {
                base_step_us: defaults.base_step_us / ENGINE_SPEED_FACTOR,
                prefill_token_us: defaults.prefill_token_us / ENGINE_SPEED_FACTOR,
                resident_token_us: defaults.resident_token_us / ENGINE_SPEED_FACTOR,
                sequence_us: defaults.sequence_us / ENGINE_SPEED_FACTOR,
                ..defaults
            },
            length: GenerationLength::HeavyTailed {
                median_tokens: COMPLETION_MEDIAN_TOKENS,
            },
            model: MODEL.to_owned(),
            report_lag_ms: 500,
            version: "1".to_owned(),
        };
        EngineServer::spawn(settings).await.expect("a free port")
    }

    async fn suspend_instance(&mut self) {
        let number = self.random.random_range(0..self.fleet.instances.len());
        self.fleet.set_suspended(number, true);
        self.sleep_random(500..9_000).await;
        self.fleet.set_suspended(number, false);
    }

    /// Waits until every instance is ready; gives up after [`READY_TIMEOUT_MS`].
    async fn wait_until_ready(&self) {
        let http = HttpClient::new("operator");
        let deadline = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for instance in &self.fleet.instances {
            while http
                .send(Method::GET, instance.admin_address, "/readyz", &[], "")
                .await
                .status
                != 200
            {
                if Instant::now() > deadline {
                    eprintln!("{} is not ready after {READY_TIMEOUT_MS} ms", instance.name);
                    return;
                }
                sleep(Duration::from_millis(READY_POLL_MS)).await;
            }
        }
    }
}
