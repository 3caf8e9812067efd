//! Starts instances as separate processes and fake endpoints in the test's process.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

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
const POLL_INTERVAL_MS: u64 = 50;
const POLLS_MAX: usize = 1_200;
const REGION: &str = "region-0";
const ROW_BODY: &str = r#"{"weight":1,"priority":0,"queued_max":100,"queueing_ms_max":20000,"running_max":100,"urgent_share_percent":20}"#;

/// Starts `count` instances of one region, all voters, with a row of the customer for each kind.
pub async fn start_fleet(count: usize, kinds: &[&str]) -> Fleet {
    let layout = FleetLayout {
        instances: count,
        regions: 1,
        voters: count,
    };
    let fleet = Fleet::start(Path::new(env!("CARGO_BIN_EXE_gentiancleat")), layout).await;
    let admin = fleet.instances[0].admin_address;
    for kind in kinds {
        let edit_id = format!("kind-{kind}");
        put_until_accepted(admin, &edit_id, &format!("/v1/kinds/{kind}"), "").await;
        let path = format!("/v1/table/rows/Maracas%20Ridge/{kind}?wait=in-force");
        put_until_accepted(admin, &format!("row-{kind}"), &path, ROW_BODY).await;
    }
    fleet
}

pub async fn start_booking(instances: Vec<SocketAddr>) -> BookingServer {
    let settings = BookingSettings {
        address: loopback(),
        announcement: announcement_settings("booking-1", instances),
        call_ms: 0,
        calls_max: 64,
        service: "booking".to_owned(),
    };
    BookingServer::spawn(settings).await.unwrap()
}

pub async fn start_engine(name: &str, tokens: u32, instances: Vec<SocketAddr>) -> EngineServer {
    let settings = EngineServerSettings {
        address: loopback(),
        announcement: announcement_settings(name, instances),
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

/// Requests a completion in one response.
pub async fn complete(address: SocketAddr) -> HttpResponse {
    let body = format!(r#"{{"model":"{MODEL}","prompt":"a ramp","max_tokens":64}}"#);
    post(address, "/v1/completions", &[], &body).await
}

/// Waits until every running instance passes its readiness check.
pub async fn wait_until_ready(fleet: &Fleet) {
    let http = HttpClient::new("operator");
    for instance in fleet
        .instances
        .iter()
        .filter(|instance| instance.is_running())
    {
        eventually("instance ready", async || {
            let response = http.send(Method::GET, instance.admin_address, "/readyz", &[], "");
            response.await.is_success()
        })
        .await;
    }
}

/// Polls `condition` until it holds; panics after `POLLS_MAX` polls.
pub async fn eventually(description: &str, condition: impl AsyncFn() -> bool) {
    for _ in 0..POLLS_MAX {
        if condition().await {
            return;
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    panic!("condition not reached: {description}");
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn announcement_settings(name: &str, instances: Vec<SocketAddr>) -> AnnouncementSettings {
    AnnouncementSettings {
        data_centre: format!("{REGION}-1"),
        incarnation: 1,
        instances,
        name: name.to_owned(),
        region: REGION.to_owned(),
    }
}

async fn put_until_accepted(admin: SocketAddr, edit_id: &str, path: &str, body: &str) {
    let http = HttpClient::new("operator");
    eventually("edit accepted", async || {
        let headers = [("gentiancleat-edit-id", edit_id), ("if-none-match", "*")];
        http.send(Method::PUT, admin, path, &headers, body)
            .await
            .is_success()
    })
    .await;
}
