//! Faults drawn by seed.

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

use crate::callers::{CUSTOMER, Callers, MODEL, SERVICE};
use crate::fleet::Fleet;
use crate::http::HttpClient;
use crate::promises::{Promise, PromiseReport};

const ENGINE_SPEED: f64 = 3.0;
const LEAVING_MS: u64 = 3_000;
const LOOK_MS: u64 = 100;
const MEDIAN_TOKENS: u32 = 200;
const READY_TIMEOUT_MS: u64 = 60_000;
const STREAMS_AT_STOP: usize = 6;

/// The parts that faults hit.
pub(crate) struct Chaos {
    pub(crate) bookings: Vec<BookingServer>,
    pub(crate) callers: Arc<Callers>,
    engine_starts: u64,
    pub(crate) engines: Vec<EngineServer>,
    pub(crate) faults: u64,
    pub(crate) fleet: Fleet,
    /// What endpoints ran that are gone.
    pub(crate) gone: Gone,
    promises: PromiseReport,
    random: Xoshiro256PlusPlus,
}

/// Ledgers of endpoints that are gone.
#[derive(Debug, Default)]
pub(crate) struct Gone {
    pub(crate) generations: Vec<GenerationRecord>,
    pub(crate) runs: Vec<CallRecord>,
}

impl Chaos {
    pub(crate) async fn start(
        fleet: Fleet,
        callers: &Arc<Callers>,
        promises: &PromiseReport,
        engines: usize,
        seed: u64,
    ) -> Self {
        let mut chaos = Self {
            bookings: Vec::new(),
            callers: Arc::clone(callers),
            engine_starts: 0,
            engines: Vec::new(),
            faults: 0,
            fleet,
            gone: Gone::default(),
            promises: promises.clone(),
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
        };
        for number in 0..engines {
            let engine = chaos.engine(number).await;
            chaos.engines.push(engine);
        }
        for number in 0..3 {
            let booking = chaos.booking(number).await;
            chaos.bookings.push(booking);
        }
        chaos
    }

    /// Draws faults until `end`, and heals everything.
    pub(crate) async fn run(&mut self, end: Instant) {
        self.ready().await;
        while Instant::now() < end {
            self.faults += 1;
            let drawn = self.random.random_range(0..14);
            eprintln!("{:?} fault {drawn} begins", SystemTime::now());
            match drawn {
                0 => self.kill(1).await,
                1 => self.kill(2).await,
                2 => self.wipe().await,
                3 => self.freeze().await,
                4 => self.cut().await,
                5 | 6 => self.engine_fault().await,
                7 => self.replace_engine().await,
                8 | 11 => self.booking_fault().await,
                9 | 10 => self.leave().await,
                _ => self.planned_stop().await,
            }
            let pause_ms = self.random.random_range(0..2_000);
            sleep(Duration::from_millis(pause_ms)).await;
        }
        self.ready().await;
    }

    /// Waits until every running instance takes work.
    pub(crate) async fn ready(&self) {
        let http = HttpClient::new("operator");
        let give_up = Instant::now() + Duration::from_millis(READY_TIMEOUT_MS);
        for instance in &self.fleet.instances {
            while http
                .send(Method::GET, instance.admin_address, "/readyz", &[], "")
                .await
                .status
                != 200
            {
                if Instant::now() > give_up {
                    eprintln!("{} is not ready after {READY_TIMEOUT_MS} ms", instance.name);
                    return;
                }
                sleep(Duration::from_millis(LOOK_MS)).await;
            }
        }
    }

    async fn booking(&mut self, number: usize) -> BookingServer {
        let settings = BookingSettings {
            address: ([127, 0, 0, 1], 0).into(),
            announcement: self.place(&format!("booking-{number}"), number),
            call_ms: 5,
            calls_max: 64,
            service: SERVICE.to_owned(),
        };
        BookingServer::spawn(settings).await.expect("a free port")
    }

    async fn booking_fault(&mut self) {
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
        self.pause(500..3_000).await;
        self.bookings[number].faults().set(FaultRequest::default());
    }

    async fn cut(&mut self) {
        let number = self.random.random_range(0..self.fleet.instances.len());
        self.fleet.instances[number].proxy.set_blocked(true);
        self.pause(500..9_000).await;
        self.fleet.instances[number].proxy.set_blocked(false);
    }

    async fn engine(&mut self, number: usize) -> EngineServer {
        let usual = EngineSettings::default();
        let settings = EngineServerSettings {
            address: ([127, 0, 0, 1], 0).into(),
            announcement: self.place(&format!("engine-{number}"), number),
            checks_fencing: number.is_multiple_of(2),
            engine: EngineSettings {
                base_step_us: usual.base_step_us / ENGINE_SPEED,
                prefill_token_us: usual.prefill_token_us / ENGINE_SPEED,
                resident_token_us: usual.resident_token_us / ENGINE_SPEED,
                sequence_us: usual.sequence_us / ENGINE_SPEED,
                ..usual
            },
            length: GenerationLength::HeavyTailed {
                median_tokens: MEDIAN_TOKENS,
            },
            model: MODEL.to_owned(),
            report_lag_ms: 500,
            version: "1".to_owned(),
        };
        EngineServer::spawn(settings).await.expect("a free port")
    }

    async fn engine_fault(&mut self) {
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
        self.pause(500..4_000).await;
        self.engines[number].faults().set(FaultRequest::default());
    }

    async fn freeze(&mut self) {
        let number = self.random.random_range(0..self.fleet.instances.len());
        self.fleet.set_suspended(number, true);
        self.pause(500..9_000).await;
        self.fleet.set_suspended(number, false);
    }

    /// Kills instances without notice, and starts them again after a while.
    async fn kill(&mut self, count: usize) {
        let first = self.random.random_range(0..self.fleet.instances.len());
        let numbers: Vec<usize> = (0..count)
            .map(|step| (first + step) % self.fleet.instances.len())
            .collect();
        for &number in &numbers {
            self.fleet.kill(number);
        }
        self.pause(100..6_000).await;
        for &number in &numbers {
            self.fleet.start_instance(number);
        }
    }

    /// An engine leaves, at times while an instance is cut off; it must receive nothing new.
    async fn leave(&mut self) {
        let number = self.random.random_range(0..self.engines.len());
        let instance = self.random.random_range(0..self.fleet.instances.len());
        let also_cut = self.random.random_bool(0.5);
        self.fleet.instances[instance].proxy.set_blocked(also_cut);
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
        self.promises.record(Promise::Leaving, violation);
        self.fleet.instances[instance].proxy.set_blocked(false);
        self.replace(number).await;
    }

    async fn pause(&mut self, range_ms: std::ops::Range<u64>) {
        let pause_ms = self.random.random_range(range_ms);
        sleep(Duration::from_millis(pause_ms)).await;
    }

    fn place(&mut self, name: &str, number: usize) -> AnnouncementSettings {
        self.engine_starts += 1;
        let instance = &self.fleet.instances[number % self.fleet.instances.len()];
        AnnouncementSettings {
            data_centre: format!("{}-1", instance.region),
            incarnation: self.engine_starts,
            instances: self.fleet.endpoint_addresses(),
            name: name.to_owned(),
            region: instance.region.clone(),
        }
    }

    /// Stops an instance as planned while streams run through it; all of them must come whole.
    async fn planned_stop(&mut self) {
        self.ready().await;
        let number = self.random.random_range(0..self.fleet.instances.len());
        let address = self.fleet.instances[number].client_address;
        let mut streams = JoinSet::new();
        for _ in 0..STREAMS_AT_STOP {
            let callers = Arc::clone(&self.callers);
            streams.spawn(async move {
                callers
                    .complete(&HttpClient::new(CUSTOMER), address, true)
                    .await
            });
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
        let code = self.fleet.drain(number).await;
        let whole = streams
            .join_all()
            .await
            .into_iter()
            .filter(|whole| *whole)
            .count();
        let violation = (code != Some(0) || whole < STREAMS_AT_STOP)
            .then(|| format!("exit code {code:?}, {whole} of {STREAMS_AT_STOP} streams whole"));
        self.promises.record(Promise::PlannedStop, violation);
        self.fleet.start_instance(number);
    }

    async fn replace(&mut self, number: usize) {
        self.engines[number].kill();
        let ledger = self.engines[number].ledger();
        self.gone.generations.extend(ledger);
        self.engines[number] = self.engine(number).await;
    }

    async fn replace_engine(&mut self) {
        let number = self.random.random_range(0..self.engines.len());
        self.engines[number].kill();
        self.pause(0..3_000).await;
        self.replace(number).await;
    }

    /// A voter loses its data folder; once it is repaired, another voter is lost.
    async fn wipe(&mut self) {
        self.ready().await;
        let voters = self.fleet.instances.iter().filter(|i| i.is_voter).count();
        let number = self.random.random_range(0..voters);
        self.fleet.kill(number);
        self.fleet.remove_data(number).expect("a data folder");
        self.fleet.start_instance(number);
        self.ready().await;
        let second = (number + 1) % voters;
        self.fleet.kill(second);
        self.pause(100..3_000).await;
        self.fleet.start_instance(second);
    }
}
