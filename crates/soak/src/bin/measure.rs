//! Measures a fleet of nine processes on loopback: idle resource use, time until an edit is in
//! force, time until a leaving endpoint gets no new generation, and time until a leader is replaced.

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
const LOAD_CLIENTS: usize = 18;
const MODEL: &str = "quote";
const POLL_MS: u64 = 5;
const POLLS_MAX: usize = 12_000;
const ROUNDS: usize = 5;
const ROW_PATH: &str = "/v1/table/rows/Maracas%20Ridge/quote";
const TICKS_PER_SECOND: f64 = 100.0;

/// Flags of the measurement.
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
}

#[tokio::main]
async fn main() {
    let flags = Flags::parse_args_default_or_exit();
    let layout = FleetLayout {
        instances: 9,
        regions: 3,
        voters: 5,
    };
    let mut bench = FleetBench::start(Fleet::start(&flags.binary, layout).await).await;
    bench.measure_idle().await;
    bench
        .measure_edits("edit accepted to in force, all instances reachable")
        .await;
    bench.measure_edits_with_blocked_instance().await;
    bench.measure_leaving(false).await;
    bench.measure_leaving(true).await;
    bench.measure_takeover().await;
}

/// A running fleet and the client that measures it.
struct FleetBench {
    fleet: Fleet,
    http: HttpClient,
}

impl FleetBench {
    async fn start(fleet: Fleet) -> Self {
        let bench = Self {
            fleet,
            http: HttpClient::new(CUSTOMER),
        };
        for (path, body) in [("/v1/kinds/quote", String::new()), (ROW_PATH, row_body(1))] {
            let id = format!("set-up-{}", path.len());
            let headers = [
                ("gentiancleat-edit-id", id.as_str()),
                ("if-none-match", "*"),
            ];
            bench
                .wait_until(async || {
                    bench
                        .send_admin(0, Method::PUT, path, &headers, &body)
                        .await
                        .0
                        < 300
                })
                .await;
        }
        bench
    }

    async fn complete_prompt(&self, number: usize) -> bool {
        complete_prompt(&self.http, &self.fleet, number).await
    }

    /// Edits the row through instance 1; returns the time until the edit is in force.
    async fn edit_ms(&self, number: usize) -> f64 {
        let address = self.fleet.instances[1].admin_address;
        let current = self
            .http
            .send(Method::GET, address, ROW_PATH, &[], "")
            .await;
        let id = format!("measure-{number}-{}", current.entity_tag.trim_matches('"'));
        let headers = [
            ("gentiancleat-edit-id", id.as_str()),
            ("if-match", current.entity_tag.as_str()),
        ];
        let path = format!("{ROW_PATH}?wait=in-force");
        let started = Instant::now();
        let weight = u32::try_from(number % 9 + 1).expect("a digit");
        let (status, body) = self
            .send_admin(1, Method::PUT, &path, &headers, &row_body(weight))
            .await;
        assert_eq!(status, 200, "{body}");
        started.elapsed().as_secs_f64() * 1_000.0
    }

    async fn leader_number(&self) -> usize {
        let (_, body) = self.send_admin(7, Method::GET, "/v1/status", &[], "").await;
        let status: Value = serde_json::from_str(&body).unwrap_or_default();
        let leader = status["leader"].as_str().unwrap_or_default();
        let names = self.fleet.instances.iter().map(|instance| &instance.name);
        names
            .into_iter()
            .position(|name| name == leader)
            .unwrap_or(0)
    }

    async fn measure_edits(&self, quantity: &str) {
        let mut times_ms = Vec::new();
        for number in 0..EDITS {
            times_ms.push(self.edit_ms(number).await);
        }
        print_quantiles(quantity, "ms", times_ms);
    }

    async fn measure_edits_with_blocked_instance(&self) {
        let mut times_ms = Vec::new();
        for round in 0..ROUNDS {
            let proxy = &self.fleet.instances[5 + round % 4].proxy;
            proxy.set_blocked(true);
            times_ms.push(self.edit_ms(round).await);
            proxy.set_blocked(false);
            sleep(Duration::from_secs(4)).await;
        }
        print_quantiles(
            "edit sent to in force, one instance silently cut off",
            "ms",
            times_ms,
        );
    }

    /// Measures processor time, memory and traffic between instances without any requests.
    async fn measure_idle(&self) {
        let before = self.read_usage().await;
        sleep(Duration::from_secs(IDLE_S)).await;
        let after = self.read_usage().await;
        let seconds = Duration::from_secs(IDLE_S).as_secs_f64();
        let rate = |value: fn(&ProcessUsage) -> f64| {
            before
                .iter()
                .zip(&after)
                .map(|(before, after)| (value(after) - value(before)) / seconds)
                .collect::<Vec<f64>>()
        };
        print_quantiles("idle processor time of an instance", "% of a core", {
            rate(|usage| usage.processor_s * 100.0)
        });
        print_quantiles("idle bytes received by an instance", "KB/s", {
            rate(|usage| usage.received_bytes / 1_000.0)
        });
        print_quantiles("idle bytes sent by an instance", "KB/s", {
            rate(|usage| usage.sent_bytes / 1_000.0)
        });
        let memory = after.iter().map(|usage| usage.memory_mb).collect();
        print_quantiles("memory of an instance", "MB", memory);
    }

    /// Measures the time from an engine's announcement that it leaves to its last new generation.
    ///
    /// A second engine stays throughout.
    async fn measure_leaving(&mut self, is_blocked: bool) {
        let mut times_ms = Vec::new();
        let remaining_engine = self.start_engine("kept", 1).await;
        for round in 0..ROUNDS {
            let name = format!("leaving-{is_blocked}-{round}");
            let engine = self.start_engine(&name, 1).await;
            let is_stopped = Arc::new(AtomicBool::new(false));
            let mut load = self.spawn_load(&is_stopped);
            self.wait_until(async || engine.ledger().len() > 20).await;
            let proxy = &self.fleet.instances[round % 9].proxy;
            proxy.set_blocked(is_blocked);
            engine.announce_leaving();
            times_ms.push(last_generation_ms(&engine).await);
            proxy.set_blocked(false);
            is_stopped.store(true, Ordering::SeqCst);
            while load.join_next().await.is_some() {}
            sleep(Duration::from_secs(4)).await;
        }
        drop(remaining_engine);
        let quantity = if is_blocked {
            "endpoint leaves to last new generation, one instance cut off"
        } else {
            "endpoint leaves to last new generation"
        };
        print_quantiles(quantity, "ms", times_ms);
    }

    /// Measures the time without service after the leader, which owns shards, is killed.
    async fn measure_takeover(&mut self) {
        let engine = self.start_engine("takeover", 1).await;
        let mut times_ms = Vec::new();
        for _ in 0..ROUNDS {
            self.wait_until(async || self.complete_prompt(7).await)
                .await;
            let leader = self.leader_number().await;
            self.fleet.kill(leader);
            let started = Instant::now();
            sleep(Duration::from_millis(50)).await;
            let other = (leader + 3) % self.fleet.instances.len();
            self.wait_until(async || self.complete_prompt(other).await)
                .await;
            times_ms.push(started.elapsed().as_secs_f64() * 1_000.0);
            self.fleet.start_instance(leader);
            sleep(Duration::from_secs(6)).await;
        }
        drop(engine);
        print_quantiles("leader killed to next served completion", "ms", times_ms);
    }

    async fn read_usage(&self) -> Vec<ProcessUsage> {
        let mut usages = Vec::new();
        for number in 0..self.fleet.instances.len() {
            let (_, metrics) = self
                .send_admin(number, Method::GET, "/metrics", &[], "")
                .await;
            let process_id = self.fleet.instances[number]
                .process_id()
                .expect("the instance is running");
            usages.push(ProcessUsage::read(process_id, &metrics));
        }
        usages
    }

    /// Sends a request to the operators' interface; the status is 999 if no response arrived.
    async fn send_admin(
        &self,
        number: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> (u16, String) {
        let address = self.fleet.instances[number].admin_address;
        let response = self.http.send(method, address, path, headers, body).await;
        match response.status {
            0 => (999, String::new()),
            status => (status, response.body),
        }
    }

    /// Spawns clients of all instances, which send requests until `is_stopped` is set.
    fn spawn_load(&self, is_stopped: &Arc<AtomicBool>) -> JoinSet<()> {
        let mut load = JoinSet::new();
        for number in 0..LOAD_CLIENTS {
            let address = self.fleet.instances[number % self.fleet.instances.len()].client_address;
            let is_stopped = Arc::clone(is_stopped);
            load.spawn(async move {
                let http = HttpClient::new(CUSTOMER);
                while !is_stopped.load(Ordering::SeqCst) {
                    http.send(
                        Method::POST,
                        address,
                        "/v1/completions",
                        &[],
                        &completion_body(),
                    )
                    .await;
                }
            });
        }
        load
    }

    async fn start_engine(&self, name: &str, incarnation: u64) -> EngineServer {
        let defaults = EngineSettings::default();
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
                base_step_us: defaults.base_step_us / 10.0,
                ..defaults
            },
            length: GenerationLength::Fixed(8),
            model: MODEL.to_owned(),
            report_lag_ms: 500,
            version: "1".to_owned(),
        };
        EngineServer::spawn(settings).await.expect("a free port")
    }

    async fn wait_until(&self, condition: impl AsyncFn() -> bool) {
        for _ in 0..POLLS_MAX {
            if condition().await {
                return;
            }
            sleep(Duration::from_millis(POLL_MS)).await;
        }
        panic!("the condition did not hold within {POLLS_MAX} polls");
    }
}

/// Resources that an instance's process has used since its start, and its present memory.
struct ProcessUsage {
    memory_mb: f64,
    processor_s: f64,
    received_bytes: f64,
    sent_bytes: f64,
}

impl ProcessUsage {
    fn read(process_id: u32, metrics: &str) -> Self {
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |index: usize| fields.get(index).and_then(|t| t.parse::<f64>().ok());
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

async fn complete_prompt(http: &HttpClient, fleet: &Fleet, number: usize) -> bool {
    let address = fleet.instances[number].client_address;
    http.send(
        Method::POST,
        address,
        "/v1/completions",
        &[],
        &completion_body(),
    )
    .await
    .is_success()
}

fn completion_body() -> String {
    json!({"model": MODEL, "prompt": "a ramp", "max_tokens": 8}).to_string()
}

/// Polls the engine's ledger for six seconds; returns when the last new generation was seen.
async fn last_generation_ms(engine: &EngineServer) -> f64 {
    let started = Instant::now();
    let mut generations = engine.ledger().len();
    let mut last_ms = 0.0;
    while started.elapsed() < Duration::from_secs(6) {
        sleep(Duration::from_millis(POLL_MS)).await;
        let latest = engine.ledger().len();
        if latest > generations {
            generations = latest;
            last_ms = started.elapsed().as_secs_f64() * 1_000.0;
        }
    }
    last_ms
}

fn print_quantiles(quantity: &str, unit: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let percentile = |percent: usize| values[(values.len() - 1) * percent / 100];
    println!(
        "{quantity}: p50 {:.2} {unit}, p99 {:.2} {unit}, greatest {:.2} {unit}, {} values",
        percentile(50),
        percentile(99),
        percentile(100),
        values.len()
    );
}

fn row_body(weight: u32) -> String {
    json!({
        "priority": 0, "queued_max": 10_000, "queueing_ms_max": 20_000, "running_max": 1_000,
        "urgent_share_percent": 20, "weight": weight,
    })
    .to_string()
}
