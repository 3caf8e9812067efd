//! Starts instances as separate processes beside fakes in the test's own process.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use fakes::engine::EngineSettings;
use fakes::http::{
    AnnouncementSettings, BookingServer, BookingSettings, EngineServer, EngineServerSettings,
    GenerationLength,
};
use hyper::Method;
use soak::{Fleet, FleetLayout, HttpClient, HttpResponse};
use tokio::time::sleep;

pub const MODEL: &str = "quote";
const CUSTOMER: &str = "Maracas Ridge";
const LOOK_MS: u64 = 50;
const LOOKS_MAX: usize = 1_200;
const REGION: &str = "region-0";
const ROW: &str = r#"{"weight":1,"priority":0,"queued_max":100,"queueing_ms_max":20000,"running_max":100,"urgent_share_percent":20}"#;

/// Starts instances of one region that all vote, with rows of the customer in force.
pub async fn fleet(count: usize, kinds: &[&str]) -> Fleet {
    let layout = FleetLayout {
        instances: count,
        regions: 1,
        voters: count,
    };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_gentiancleat")), layout).await;
    let admin = fleet.instances[0].admin_address;
    for kind in kinds {
        let id = format!("kind-{kind}");
        put(admin, &id, &format!("/v1/kinds/{kind}"), "").await;
        let path = format!("/v1/table/rows/Maracas%20Ridge/{kind}?wait=in-force");
        put(admin, &format!("row-{kind}"), &path, ROW).await;
    }
    fleet
}

pub async fn booking(instances: Vec<SocketAddr>) -> BookingServer {
    let settings = BookingSettings {
        address: loopback(),
        announcement: place("booking-1", instances),
        call_ms: 0,
        calls_max: 64,
        service: "booking".to_owned(),
    };
    BookingServer::spawn(settings).await.unwrap()
}

pub async fn engine(name: &str, tokens: u32, instances: Vec<SocketAddr>) -> EngineServer {
    let settings = EngineServerSettings {
        address: loopback(),
        announcement: place(name, instances),
        checks_fencing: true,
        engine: EngineSettings::default(),
        length: GenerationLength::Fixed(tokens),
        model: MODEL.to_owned(),
        report_lag_ms: 0,
        version: "1".to_owned(),
    };
    EngineServer::spawn(settings).await.unwrap()
}

pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> HttpResponse {
    let http = HttpClient::new(CUSTOMER);
    http.send(Method::POST, address, path, headers, body).await
}

/// Asks for a whole completion.
pub async fn complete(address: SocketAddr) -> HttpResponse {
    let body = format!(r#"{{"model":"{MODEL}","prompt":"a ramp","max_tokens":64}}"#);
    post(address, "/v1/completions", &[], &body).await
}

/// Waits until every running instance takes work.
pub async fn ready(fleet: &Fleet) {
    let http = HttpClient::new("operator");
    for instance in fleet
        .instances
        .iter()
        .filter(|instance| instance.is_running())
    {
        eventually("instance ready", async || {
            let look = http.send(Method::GET, instance.admin_address, "/readyz", &[], "");
            look.await.is_success()
        })
        .await;
    }
}

/// Repeats a look until it succeeds; fails the test after many looks.
pub async fn eventually(what: &str, look: impl AsyncFn() -> bool) {
    for _ in 0..LOOKS_MAX {
        if look().await {
            return;
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    panic!("not reached: {what}");
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn place(name: &str, instances: Vec<SocketAddr>) -> AnnouncementSettings {
    AnnouncementSettings {
        data_centre: format!("{REGION}-1"),
        incarnation: 1,
        instances,
        name: name.to_owned(),
        region: REGION.to_owned(),
    }
}

async fn put(admin: SocketAddr, id: &str, path: &str, body: &str) {
    let http = HttpClient::new("operator");
    eventually("edit accepted", async || {
        let headers = [("gentiancleat-edit-id", id), ("if-none-match", "*")];
        http.send(Method::PUT, admin, path, &headers, body)
            .await
            .is_success()
    })
    .await;
}
