//! Sends one heartbeat of another writer for the address of each booking replica, and counts how often
//! clients are served afterwards.
//!
//! Arguments: the folder of the case. `TROUBLE=0` leaves the other writer's heartbeats out.

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_stand_ins::fleet::Fleet;
use review_stand_ins::http::request;
use review_stand_ins::record::Record;
use review_stand_ins::replica::{Kind, Replica, heartbeat, put_heartbeat, unix_ms};

const REGISTRIES: u8 = 5;
const GATEWAYS: u8 = 3;
const MEMORY_MB: u64 = 256;
const REPLICAS_PER_SERVICE: u8 = 3;

/// Lead time before the traffic, as on the site.
const LEAD: Duration = Duration::from_secs(10);
const TRAFFIC: Duration = Duration::from_secs(80);
/// Time from the start of the traffic until the other writer sends its heartbeats.
const TROUBLE_AFTER: Duration = Duration::from_secs(5);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// A kind of request with its time budget.
#[derive(Clone, Copy)]
struct Class {
    deadline_ms: u64,
    name: &'static str,
    path: &'static str,
}

const CLASSES: [Class; 2] = [
    Class {
        deadline_ms: 2_000,
        name: "visit-booking",
        path: "/pule252/2f",
    },
    Class {
        deadline_ms: 6_000,
        name: "job-tag",
        path: "/pufi791/2f",
    },
];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-hvz3pfi","hostname":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":6000,"target_latency_ms":1500,"priority":0,"service":"huvo11a","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":180},{"name":"r-px5pa2y","hostname":"ficu95.example","path_prefix":"/pule252/","kind":"unsafe","timeout_ms":1000,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":1,"public":false,"sticky":false,"resumable":false,"gap_aim_ms":0}],"services":[{"name":"huvo11a","health_path":"/health","max_conns":252,"protocol":"h1","tls":false},{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]}"#;

/// Requests sent and served of one class.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    sent: u64,
    served: u64,
}

/// Sends a request, and once more after a refusal, as PROTOCOL.md says.
fn call(front: &[SocketAddr], number: usize, class: Class, record: &Record) -> bool {
    let deadline = Instant::now() + Duration::from_millis(class.deadline_ms);
    for attempt in 0..2 {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let request_id = format!("{number:08x}{attempt:08x}");
        let deadline_ms = left.as_millis().to_string();
        let headers = [
            ("Host", "ficu95.example"),
            ("X-Request-Id", request_id.as_str()),
            ("X-Deadline-Ms", deadline_ms.as_str()),
            ("X-Key", "xd9dnn2ctnfzs989anu6"),
        ];
        let address = front[(number + attempt) % front.len()];
        let answer = request(address, "POST", class.path, &headers, b"a visit", left);
        let status = answer.as_ref().map_or(0, |response| response.status);
        record.line(&format!("{} {request_id} answered {status}", class.name));
        let Ok(response) = answer else { return false };
        match response.status {
            200 if response.head.contains("x-replica-stamp") => return true,
            503 | 429 => {
                let left = deadline.saturating_duration_since(Instant::now());
                sleep(response.retry_after().unwrap_or_default().min(left / 3));
            }
            _ => return false,
        }
    }
    false
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    let mut fleet = Fleet::new(REGISTRIES, GATEWAYS, MEMORY_MB);
    fleet.start_all();
    let registries: Vec<SocketAddr> = (0..usize::from(REGISTRIES))
        .map(|at| fleet.control_address(at))
        .collect();
    let front: Vec<SocketAddr> = (usize::from(REGISTRIES)..fleet.len())
        .map(|at| fleet.front_address(at))
        .collect();
    let mut replicas = Vec::new();
    for number in 0..REPLICAS_PER_SERVICE {
        for (service, kind, offset) in [
            ("huvo11a", Kind::Stream, 100),
            ("wuno96b", Kind::Plain, 110),
        ] {
            let ip = fleet.other_ip(offset + number);
            let id = format!("i-{service}-{number}");
            replicas.push(Replica::spawn(
                &id,
                service,
                kind,
                ip,
                registries.clone(),
                &record,
            ));
        }
    }
    let started_at = Instant::now();
    let is_accepted = loop {
        let headers = [("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let sent = request(
            registries[0],
            "PUT",
            "/gentiancleat/config",
            &headers,
            CONFIG.as_bytes(),
            timeout,
        );
        match sent {
            Ok(response) if response.status == 200 => break true,
            _ if started_at.elapsed() > LEAD => break false,
            _ => sleep(Duration::from_millis(200)),
        }
    };
    sleep(LEAD.saturating_sub(started_at.elapsed()));
    if !is_accepted {
        record.line("the config was not accepted");
        return ExitCode::from(2);
    }
    let counts = Arc::new(Mutex::new([Counts::default(); CLASSES.len()]));
    let mut calls = Vec::new();
    let traffic_started_at = Instant::now();
    let mut is_trouble_due = has_trouble;
    let mut number = 0;
    while traffic_started_at.elapsed() < TRAFFIC {
        if is_trouble_due && traffic_started_at.elapsed() >= TROUBLE_AFTER {
            is_trouble_due = false;
            for replica in replicas
                .iter()
                .filter(|replica| replica.kind == Kind::Plain)
            {
                let id = format!("x-{}", replica.id);
                let body = heartbeat("of-another-writer", replica.address, unix_ms(), 1);
                let sent = put_heartbeat(registries[0], &id, &body);
                let status = sent.map_or(0, |response| response.status);
                record.line(&format!("other writer: PUT {id} {body}: {status}"));
            }
        }
        let at = number % CLASSES.len();
        let (front, record, counts) = (front.clone(), Arc::clone(&record), Arc::clone(&counts));
        calls.push(spawn(move || {
            let is_served = call(&front, number, CLASSES[at], &record);
            let mut counts = counts.lock().expect("no caller panics");
            counts[at].sent += 1;
            counts[at].served += u64::from(is_served);
        }));
        number += 1;
        sleep(REQUEST_INTERVAL);
    }
    for call in calls {
        let _ = call.join();
    }
    let counts = *counts.lock().expect("no caller panics");
    let sent: u64 = counts.iter().map(|counts| counts.sent).sum();
    let served: u64 = counts.iter().map(|counts| counts.served).sum();
    for replica in &replicas {
        record.line(&format!("{} ran {} requests", replica.id, replica.runs()));
    }
    if served == 0 {
        record.line("nothing was served");
        return ExitCode::from(2);
    }
    let mut is_broken = false;
    for (class, counts) in CLASSES.iter().zip(counts) {
        // Served less than a quarter as often as all requests.
        let is_starved = counts.served * sent * 4 < counts.sent * served;
        is_broken |= is_starved;
        let text = format!(
            "{}: {} of {} served, of all {served} of {sent}{}",
            class.name,
            counts.served,
            counts.sent,
            if is_starved { ": starved" } else { "" }
        );
        record.line(&text);
        println!("{text}");
    }
    record.line(if is_broken {
        "the rule was broken"
    } else {
        "the rule held"
    });
    ExitCode::from(u8::from(is_broken))
}
