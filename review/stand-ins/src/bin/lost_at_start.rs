//! Loses one machine of the core for good while the deployment starts for the first time, adds an empty
//! one at another address, and counts what is served afterwards.
//!
//! Arguments: the folder of the case. `TROUBLE=0` leaves the loss out; the other machine is added all
//! the same.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_stand_ins::fleet::Fleet;
use review_stand_ins::http::request;
use review_stand_ins::record::Record;
use review_stand_ins::replica::{Kind, Replica};

/// Five at the start, and one that is added.
const REGISTRIES: u8 = 6;
const GATEWAYS: u8 = 3;
const MEMORY_MB: u64 = 256;
const REPLICAS: u8 = 3;

/// Machines start within 0.3 s of each other, in any order.
const LAST_START_AFTER: Duration = Duration::from_millis(200);

/// Third of the three seeds; it starts last and is lost while it boots. The deployment shall bear the loss
/// of two machines.
const LOST: usize = 2;
const ADDED: usize = 5;

/// Time until the successor comes; `x` of `replace_core`.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);
/// Time until the settings name the successor as a seed: `seed_lag_s` and the successor's start.
const SEEDS_AFTER: Duration = Duration::from_secs(5);

/// Traffic starts this long after the machines.
const LEAD: Duration = Duration::from_secs(10);
const TRAFFIC: Duration = Duration::from_secs(60);
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(2);
/// The operator turns to the next machine after a second without a response.
const ORDER_TIMEOUT: Duration = Duration::from_secs(1);
const ORDER_PAUSE: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-px5pa2y","hostname":"ficu95.example","path_prefix":"/pule252/","kind":"safe","timeout_ms":1000,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"public":false,"sticky":false,"resumable":false,"gap_aim_ms":0}],"services":[{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// Sends the first config to one machine after the other until it is acknowledged.
fn send_config(registries: &[SocketAddr], until: Instant, record: &Record) -> bool {
    for at in 0.. {
        if Instant::now() >= until {
            break;
        }
        let registry = registries[at % registries.len()];
        let headers = [("Content-Type", "application/json")];
        let body = CONFIG.as_bytes();
        let sent = request(
            registry,
            "PUT",
            "/gentiancleat/config",
            &headers,
            body,
            ORDER_TIMEOUT,
        );
        let answer = sent.map_or_else(
            |error| error.to_string(),
            |answer| answer.status.to_string(),
        );
        record.line(&format!("config 7 sent to {registry}: {answer}"));
        if answer == "200" {
            return true;
        }
        sleep(ORDER_PAUSE);
    }
    false
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    let mut fleet = Fleet::new(REGISTRIES, GATEWAYS, MEMORY_MB);
    let started_at = Instant::now();
    for at in (0..fleet.len()).filter(|at| ![LOST, ADDED].contains(at)) {
        fleet.start(at, true);
    }
    sleep(LAST_START_AFTER.saturating_sub(started_at.elapsed()));
    fleet.start(LOST, true);
    record.line("five core machines and the edge machines started");
    if has_trouble {
        fleet.kill(LOST);
        record.line(&format!("{} is gone for good", fleet.name(LOST)));
    }
    let registries: Vec<SocketAddr> = (0..usize::from(REGISTRIES))
        .map(|at| fleet.control_address(at))
        .collect();
    let front: Vec<SocketAddr> = (usize::from(REGISTRIES)..fleet.len())
        .map(|at| fleet.front_address(at))
        .collect();
    let replicas: Vec<_> = (0..REPLICAS)
        .map(|number| {
            let ip = fleet.other_ip(110 + number);
            let id = format!("i-wuno96b-{number}");
            Replica::spawn(&id, "wuno96b", Kind::Plain, ip, registries.clone(), &record)
        })
        .collect();
    let until = started_at + LEAD + TRAFFIC;
    let operator = {
        let (registries, record) = (registries.clone(), Arc::clone(&record));
        std::thread::spawn(move || send_config(&registries, until, &record))
    };
    sleep(SUCCESSOR_AFTER.saturating_sub(started_at.elapsed()));
    fleet.start(ADDED, false);
    record.line(&format!("{} started, empty", fleet.name(ADDED)));
    sleep(SEEDS_AFTER.saturating_sub(started_at.elapsed()));
    if has_trouble {
        fleet.set_seeds(&[0, 1, ADDED]);
        record.line("the settings name the successor as a seed");
    }
    sleep(LEAD.saturating_sub(started_at.elapsed()));
    let (mut sent, mut served) = (0, 0);
    while Instant::now() < until {
        let request_id = format!("{sent:016x}");
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Request-Id", request_id.as_str()),
            ("X-Deadline-Ms", "2000"),
            ("X-Key", "xd9dnn2ctnfzs989anu6"),
        ];
        let address = front[sent % front.len()];
        let answer = request(address, "GET", "/pule252/2f", &headers, b"", DEADLINE);
        let status = answer.map_or(0, |response| response.status);
        record.line(&format!("request {request_id} answered {status}"));
        sent += 1;
        served += usize::from(status == 200);
        sleep(REQUEST_INTERVAL);
    }
    let is_accepted = operator.join().expect("the operator doesn't panic");
    for (at, registry) in registries.iter().enumerate() {
        let ready = if fleet.is_running(at) {
            "runs"
        } else {
            "is gone"
        };
        record.line(&format!("{} at {registry} {ready}", fleet.name(at)));
    }
    for replica in &replicas {
        record.line(&format!("{} ran {} requests", replica.id, replica.runs()));
    }
    let is_broken = served == 0;
    let verdict = format!(
        "config acknowledged: {is_accepted}; {served} of {sent} requests served: the rule {}",
        if is_broken { "was broken" } else { "held" }
    );
    record.line(&verdict);
    println!("{verdict}");
    ExitCode::from(u8::from(is_broken))
}
