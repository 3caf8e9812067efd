//! Starts instances as separate processes and talks to them by HTTP.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use fakes::engine::EngineSettings;
use fakes::http::{
    BookingServer, BookingSettings, EngineServer, EngineServerSettings, LengthRule, Place,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tempfile::TempDir;
use tokio::time::sleep;

pub const CUSTOMER: &str = "Maracas Ridge";
pub const MODEL: &str = "quote";
const LOOK_MS: u64 = 50;
const LOOKS_MAX: usize = 1_200;

/// Instances as separate processes with data folders of their own.
pub struct Fleet {
    folder: TempDir,
    pub instances: Vec<Instance>,
}

pub struct Instance {
    pub admin: SocketAddr,
    pub caller: SocketAddr,
    child: Option<Child>,
    pub endpoint: SocketAddr,
    inner: SocketAddr,
    pub name: String,
}

pub struct Answer {
    pub body: String,
    pub outcome: String,
    pub status: u16,
}

impl Fleet {
    /// Starts `count` instances that all vote.
    pub fn start(count: usize) -> Self {
        let ip = unused_ip();
        let instances = (0..count).map(|number| Instance::new(number, ip)).collect();
        let mut fleet = Self {
            folder: TempDir::new().unwrap(),
            instances,
        };
        for number in 0..count {
            fleet.restart(number);
        }
        fleet
    }

    pub fn endpoint_addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.endpoint).collect()
    }

    /// Kills an instance without notice.
    pub fn kill(&mut self, number: usize) {
        let mut child = self.instances[number].child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Starts an instance, again where it has been stopped.
    pub fn restart(&mut self, number: usize) {
        let peers: Vec<String> = self.instances.iter().map(Instance::peer).collect();
        let names: Vec<&str> = self.instances.iter().map(|i| i.name.as_str()).collect();
        let instance = &self.instances[number];
        let child = instance.spawn(self.folder.path(), &peers.join(","), &names.join(","));
        self.instances[number].child = Some(child);
    }

    /// Asks for a planned stop and waits for the exit code.
    pub async fn stop(&mut self, number: usize) -> Option<i32> {
        let admin = self.instances[number].admin;
        call(admin, Method::POST, "/v1/drain", &[], "").await;
        let mut child = self.instances[number].child.take().unwrap();
        for _ in 0..LOOKS_MAX {
            if let Some(status) = child.try_wait().unwrap() {
                return status.code();
            }
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
        child.kill().unwrap();
        panic!("the instance did not stop");
    }

    /// Adds kinds and rows for the customer, and waits until they are in force.
    pub async fn add_rows(&self, kinds: &[&str]) {
        let admin = self.instances[0].admin;
        for kind in kinds {
            let path = format!("/v1/kinds/{kind}");
            eventually("kind accepted", async || {
                let headers = [("gentiancleat-edit-id", *kind), ("if-none-match", "*")];
                call(admin, Method::PUT, &path, &headers, "")
                    .await
                    .is_success()
            })
            .await;
            let path = format!("/v1/table/rows/Maracas%20Ridge/{kind}?wait=in-force");
            let row = r#"{"weight":1,"priority":0,"queued_max":100,"queueing_ms_max":20000,"running_max":100,"urgent_share_percent":20}"#;
            eventually("row accepted", async || {
                let id = format!("row-{kind}");
                let headers = [
                    ("gentiancleat-edit-id", id.as_str()),
                    ("if-none-match", "*"),
                ];
                call(admin, Method::PUT, &path, &headers, row)
                    .await
                    .is_success()
            })
            .await;
        }
    }

    /// Waits until every running instance takes work.
    pub async fn ready(&self) {
        for instance in self.instances.iter().filter(|i| i.child.is_some()) {
            eventually("instance ready", async || {
                call(instance.admin, Method::GET, "/readyz", &[], "")
                    .await
                    .status
                    == 200
            })
            .await;
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.instances.iter_mut().filter_map(|i| i.child.as_mut()) {
            // A process that has ended already needs no end.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Instance {
    fn new(number: usize, ip: IpAddr) -> Self {
        Self {
            admin: free_address(ip),
            caller: free_address(ip),
            child: None,
            endpoint: free_address(ip),
            inner: free_address(ip),
            name: format!("instance-{number}"),
        }
    }

    fn peer(&self) -> String {
        format!("{}={}", self.name, self.inner)
    }

    fn spawn(&self, folder: &Path, peers: &str, voters: &str) -> Child {
        Command::new(env!("CARGO_BIN_EXE_gentiancleat"))
            .arg("serve")
            .args(["--name", &self.name])
            .args(["--region", "north"])
            .args(["--data-centre", &format!("north-{}", self.name)])
            .args(["--admin-address", &self.admin.to_string()])
            .args(["--caller-address", &self.caller.to_string()])
            .args(["--endpoint-address", &self.endpoint.to_string()])
            .args(["--inner-address", &self.inner.to_string()])
            .args(["--peers", peers])
            .args(["--voters", voters])
            .args(["--insecure", "yes"])
            .args(["--drain-wait-ms", "200"])
            .args(["--log-level", "error"])
            .arg("--data")
            .arg(folder.join(&self.name))
            .stderr(Stdio::null())
            .spawn()
            .unwrap()
    }
}

pub async fn booking(instances: Vec<SocketAddr>) -> BookingServer {
    let settings = BookingSettings {
        address: loopback(),
        call_ms: 0,
        calls_max: 64,
        place: place("booking-1", instances),
        service: "booking".to_owned(),
    };
    BookingServer::spawn(settings).await.unwrap()
}

pub async fn engine(name: &str, tokens: u32, instances: Vec<SocketAddr>) -> EngineServer {
    let settings = EngineServerSettings {
        address: loopback(),
        checks_fencing: true,
        engine: EngineSettings::default(),
        length: LengthRule::Fixed(tokens),
        model: MODEL.to_owned(),
        place: place(name, instances),
        report_lag_ms: 0,
        version: "1".to_owned(),
    };
    EngineServer::spawn(settings).await.unwrap()
}

/// Calls an instance; a call without an answer has status 0.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("authorization", format!("Bearer {CUSTOMER}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .unwrap();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let Ok(response) = client.request(request).await else {
        return Answer::none();
    };
    let status = response.status().as_u16();
    let outcome = response.headers().get("gentiancleat-outcome");
    let outcome = outcome
        .map_or("", |value| value.to_str().unwrap())
        .to_owned();
    match response.into_body().collect().await {
        Ok(body) => Answer {
            body: String::from_utf8(body.to_bytes().to_vec()).unwrap(),
            outcome,
            status,
        },
        Err(_) => Answer::none(),
    }
}

impl Answer {
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    fn none() -> Self {
        Self {
            body: String::new(),
            outcome: String::new(),
            status: 0,
        }
    }
}

/// Asks for a whole completion.
pub async fn complete(address: SocketAddr, max_tokens: u32) -> Answer {
    let body = format!(r#"{{"model":"{MODEL}","prompt":"a ramp","max_tokens":{max_tokens}}}"#);
    call(address, Method::POST, "/v1/completions", &[], &body).await
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

/// A port that the kernel chose; nobody else uses the address, so it stays free.
fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn place(name: &str, instances: Vec<SocketAddr>) -> Place {
    Place {
        data_centre: "north-1".to_owned(),
        incarnation: 1,
        instances,
        name: name.to_owned(),
        region: "north".to_owned(),
    }
}

/// A loopback address for one fleet; connections between others take no port of it.
fn unused_ip() -> IpAddr {
    static FLEETS: AtomicU8 = AtomicU8::new(2);
    let [.., high, low] = std::process::id().to_be_bytes();
    let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high, low, fleet))
}
