//! Measures a fleet of nine processes on loopback: edits, leaving, takeover, idle cost.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fakes::engine::EngineSettings;
use fakes::http::{AnnouncementSettings, EngineServer, EngineServerSettings, GenerationLength};
use gumdrop::Options;
use hyper::Method;
use serde_json::{Value, json};
use soak::{Fleet, FleetLayout, HttpClient};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const CUSTOMER: &str = "Maracas Ridge";
const EDITS: usize = 50;
const IDLE_S: u64 = 30;
const LOAD_CALLERS: usize = 18;
const LOOK_MS: u64 = 5;
const LOOKS_MAX: usize = 12_000;
const MODEL: &str = "quote";
const ROUNDS: usize = 5;
const ROW_PATH: &str = "/v1/table/rows/Maracas%20Ridge/quote";
const TICKS_PER_SECOND: f64 = 100.0;

/// Flags of the measurement.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this text")]
    help: bool,
    #[options(
        help = "program under test",
        default = "target/release/gentiancleat",
        no_short
    )]
    binary: PathBuf,
}

#[tokio::main]
async fn main() {
    let flags = Flags::parse_args_default_or_exit();
    let layout = FleetLayout {
        instances: 9,
        regions: 3,
        voters: 5,
    };
    let mut bench = Bench::start(Fleet::start(&flags.binary, layout).await).await;
    bench.idle().await;
    bench
        .edits("edit accepted to in force, all instances reachable")
        .await;
    bench.edits_with_a_cut().await;
    bench.leaving(false).await;
    bench.leaving(true).await;
    bench.takeover().await;
}

struct Bench {
    fleet: Fleet,
    http: HttpClient,
}

impl Bench {
    async fn start(fleet: Fleet) -> Self {
        let bench = Self {
            fleet,
            http: HttpClient::new(CUSTOMER),
        };
        for (path, body) in [("/v1/kinds/quote", String::new()), (ROW_PATH, row(1))] {
            let id = format!("set-up-{}", path.len());
            let headers = [
                ("gentiancleat-edit-id", id.as_str()),
                ("if-none-match", "*"),
            ];
            bench
                .until(async || bench.admin(0, Method::PUT, path, &headers, &body).await.0 < 300)
                .await;
        }
        bench
    }

    /// Status and body of a call of the operators' interface; status 999 without an answer.
    async fn admin(
        &self,
        number: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, String) {
        let address = self.fleet.instances[number].admin_address;
        let answer = self.http.send(method, address, path, headers, body).await;
        match answer.status {
            0 => (999, String::new()),
            status => (status, answer.body),
        }
    }

    /// Edits the row through instance 1 and waits until it is in force.
    async fn edit(&self, number: usize) -> f64 {
        let address = self.fleet.instances[1].admin_address;
        let present = self
            .http
            .send(Method::GET, address, ROW_PATH, &[], "")
            .await;
        let id = format!("measure-{number}-{}", present.entity_tag.trim_matches('"'));
        let headers = [
            ("gentiancleat-edit-id", id.as_str()),
            ("if-match", present.entity_tag.as_str()),
        ];
        let path = format!("{ROW_PATH}?wait=in-force");
        let started = Instant::now();
        let weight = u32::try_from(number % 9 + 1).expect("a digit");
        let answer = self
            .admin(1, Method::PUT, &path, &headers, &row(weight))
            .await;
        assert_eq!(answer.0, 200, "{}", answer.1);
        started.elapsed().as_secs_f64() * 1_000.0
    }

    async fn edits(&self, what: &str) {
        let mut times_ms = Vec::new();
        for number in 0..EDITS {
            times_ms.push(self.edit(number).await);
        }
        print(what, "ms", times_ms);
    }

    async fn edits_with_a_cut(&self) {
        let mut times_ms = Vec::new();
        for round in 0..ROUNDS {
            let cut = &self.fleet.instances[5 + round % 4].proxy;
            cut.set_blocked(true);
            times_ms.push(self.edit(round).await);
            cut.set_blocked(false);
            sleep(Duration::from_secs(4)).await;
        }
        print(
            "edit sent to in force, one instance silently cut off",
            "ms",
            times_ms,
        );
    }

    /// Processor time, memory and bytes of idle instances.
    async fn idle(&self) {
        let before = self.usage().await;
        sleep(Duration::from_secs(IDLE_S)).await;
        let after = self.usage().await;
        let seconds = Duration::from_secs(IDLE_S).as_secs_f64();
        let rate = |pick: fn(&Usage) -> f64| {
            before
                .iter()
                .zip(&after)
                .map(|(before, after)| (pick(after) - pick(before)) / seconds)
                .collect::<Vec<f64>>()
        };
        print("idle processor time of an instance", "% of a core", {
            rate(|usage| usage.processor_s * 100.0)
        });
        print("idle bytes received by an instance", "KB/s", {
            rate(|usage| usage.received_bytes / 1_000.0)
        });
        print("idle bytes sent by an instance", "KB/s", {
            rate(|usage| usage.sent_bytes / 1_000.0)
        });
        let memory = after.iter().map(|usage| usage.memory_mb).collect();
        print("memory of an instance", "MB", memory);
    }

    /// Time from the announcement that an endpoint leaves to the last new generation on it.
    async fn leaving(&mut self, also_cut: bool) {
        let mut times_ms = Vec::new();
        let kept = self.engine("kept", 1).await;
        for round in 0..ROUNDS {
            let name = format!("leaving-{also_cut}-{round}");
            let engine = self.engine(&name, 1).await;
            let stop = Arc::new(AtomicBool::new(false));
            let mut load = self.load(&stop);
            self.until(async || engine.ledger().len() > 20).await;
            let cut = &self.fleet.instances[round % 9].proxy;
            cut.set_blocked(also_cut);
            engine.announce_leaving();
            times_ms.push(last_start_ms(&engine).await);
            cut.set_blocked(false);
            stop.store(true, Ordering::SeqCst);
            while load.join_next().await.is_some() {}
            sleep(Duration::from_secs(4)).await;
        }
        drop(kept);
        let what = if also_cut {
            "endpoint leaves to last new generation, one instance cut off"
        } else {
            "endpoint leaves to last new generation"
        };
        print(what, "ms", times_ms);
    }

    /// Time without service after the leader, which owns shards, is killed.
    async fn takeover(&mut self) {
        let engine = self.engine("takeover", 1).await;
        let mut times_ms = Vec::new();
        for _ in 0..ROUNDS {
            self.until(async || self.complete(7).await).await;
            let leader = self.leader().await;
            self.fleet.kill(leader);
            let started = Instant::now();
            sleep(Duration::from_millis(50)).await;
            let other = (leader + 3) % self.fleet.instances.len();
            self.until(async || self.complete(other).await).await;
            times_ms.push(started.elapsed().as_secs_f64() * 1_000.0);
            self.fleet.start_instance(leader);
            sleep(Duration::from_secs(6)).await;
        }
        drop(engine);
        print("leader killed to next served completion", "ms", times_ms);
    }

    async fn complete(&self, number: usize) -> bool {
        complete(&self.http, &self.fleet, number).await
    }

    async fn engine(&self, name: &str, incarnation: u64) -> EngineServer {
        let usual = EngineSettings::default();
        let settings = EngineServerSettings {
            address: ([127, 0, 0, 1], 0).into(),
            announcement: AnnouncementSettings {
                data_centre: "region-0-1".to_owned(),
                incarnation,
                instances: self.fleet.endpoint_addresses(),
                name: name.to_owned(),
                region: "region-0".to_owned(),
            },
            checks_fencing: true,
            engine: EngineSettings {
                base_step_us: usual.base_step_us / 10.0,
                ..usual
            },
            length: GenerationLength::Fixed(8),
            model: MODEL.to_owned(),
            report_lag_ms: 500,
            version: "1".to_owned(),
        };
        EngineServer::spawn(settings).await.expect("a free port")
    }

    async fn leader(&self) -> usize {
        let (_, body) = self.admin(7, Method::GET, "/v1/status", &[], "").await;
        let status: Value = serde_json::from_str(&body).unwrap_or_default();
        let leader = status["leader"].as_str().unwrap_or_default();
        let names = self.fleet.instances.iter().map(|instance| &instance.name);
        names
            .into_iter()
            .position(|name| name == leader)
            .unwrap_or(0)
    }

    /// Callers of all instances, until told to stop.
    fn load(&self, stop: &Arc<AtomicBool>) -> JoinSet<()> {
        let mut load = JoinSet::new();
        for number in 0..LOAD_CALLERS {
            let address = self.fleet.instances[number % self.fleet.instances.len()].client_address;
            let stop = Arc::clone(stop);
            load.spawn(async move {
                let http = HttpClient::new(CUSTOMER);
                while !stop.load(Ordering::SeqCst) {
                    http.send(Method::POST, address, "/v1/completions", &[], &completion())
                        .await;
                }
            });
        }
        load
    }

    async fn until(&self, look: impl AsyncFn() -> bool) {
        for _ in 0..LOOKS_MAX {
            if look().await {
                return;
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        panic!("not reached");
    }

    async fn usage(&self) -> Vec<Usage> {
        let mut usages = Vec::new();
        for number in 0..self.fleet.instances.len() {
            let (_, metrics) = self.admin(number, Method::GET, "/metrics", &[], "").await;
            let process_id = self.fleet.instances[number].process_id().expect("it runs");
            usages.push(Usage::read(process_id, &metrics));
        }
        usages
    }
}

/// What a process has used since its start.
struct Usage {
    memory_mb: f64,
    processor_s: f64,
    received_bytes: f64,
    sent_bytes: f64,
}

impl Usage {
    fn read(process_id: u32, metrics: &str) -> Self {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|t| t.parse::<f64>().ok());
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
        let memory_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"))
            .and_then(|text| text.trim().parse::<f64>().ok());
        let metric = |direction: &str| {
            metrics
                .lines()
                .find(|line| line.starts_with("traffic_between") && line.contains(direction))
                .and_then(|line| line.rsplit(' ').next()?.parse().ok())
                .unwrap_or(0.0)
        };
        Self {
            memory_mb: memory_kb.unwrap_or(0.0) / 1_000.0,
            processor_s: (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS_PER_SECOND,
            received_bytes: metric("received"),
            sent_bytes: metric("sent"),
        }
    }
}

async fn complete(http: &HttpClient, fleet: &Fleet, number: usize) -> bool {
    let address = fleet.instances[number].client_address;
    http.send(Method::POST, address, "/v1/completions", &[], &completion())
        .await
        .is_success()
}

fn completion() -> String {
    json!({"model": MODEL, "prompt": "a ramp", "max_tokens": 8}).to_string()
}

/// Looks for six seconds; gives the time of the last look that saw a new generation.
async fn last_start_ms(engine: &EngineServer) -> f64 {
    let started = Instant::now();
    let mut seen = engine.ledger().len();
    let mut last_ms = 0.0;
    while started.elapsed() < Duration::from_secs(6) {
        sleep(Duration::from_millis(LOOK_MS)).await;
        let now = engine.ledger().len();
        if now > seen {
            seen = now;
            last_ms = started.elapsed().as_secs_f64() * 1_000.0;
        }
    }
    last_ms
}

fn print(what: &str, unit: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let at = |part: usize| values[(values.len() - 1) * part / 100];
    println!(
        "{what}: p50 {:.2} {unit}, p99 {:.2} {unit}, greatest {:.2} {unit}, {} values",
        at(50),
        at(99),
        at(100),
        values.len()
    );
}

fn row(weight: u32) -> String {
    json!({
        "priority": 0, "queued_max": 10_000, "queueing_ms_max": 20_000, "running_max": 1_000,
        "urgent_share_percent": 20, "weight": weight,
    })
    .to_string()
}
