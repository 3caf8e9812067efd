//! Group of registries on loopback addresses with one port. The data folder of a registry outlives
//! it, so that the registry can be restarted.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod forwarder;

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use catalog::{Catalog, Limits, RetryClass, Route, Service, UncheckedDocument, WeightedService};
use names::InstanceName;
use registry::{Document, DocumentDecoder, Registry, RegistrySettings};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::sleep;

/// Host of all routes of a [`document`].
pub const HOST: &str = "desk.example";

/// Bytes that each route of a [`document`] takes at least.
pub const ROUTE_BYTES: usize = 600;

const RETRY_INTERVAL_MS: u64 = 10;
const SEED_COUNT: u8 = 3;

/// Addresses and data folders of the registries of one test.
pub struct TestGroup {
    folder: TempDir,
    /// Third octet of the addresses.
    group_octet: u8,
    port: u16,
    /// Second octet of the addresses.
    process_octet: u8,
}

impl TestGroup {
    /// Picks loopback addresses that no other test of the process uses, and a port that is free on
    /// the first of them.
    pub async fn new() -> Self {
        static GROUPS: AtomicU8 = AtomicU8::new(1);
        let group_octet = GROUPS.fetch_add(1, Ordering::Relaxed);
        let process_octet = u8::try_from(std::process::id() % 200).unwrap() + 1;
        let first = TcpListener::bind((Ipv4Addr::new(127, process_octet, group_octet, 1), 0))
            .await
            .unwrap();
        Self {
            folder: TempDir::new().unwrap(),
            group_octet,
            port: first.local_addr().unwrap().port(),
            process_octet,
        }
    }

    /// Starts a registry of a group that is being bootstrapped.
    pub async fn bootstrap(&self, number: u8) -> Registry {
        self.open(number, true).await
    }

    pub async fn bootstrap_three(&self) -> (Registry, Registry, Registry) {
        (
            self.bootstrap(1).await,
            self.bootstrap(2).await,
            self.bootstrap(3).await,
        )
    }

    /// Starts a registry of an existing group.
    pub async fn join(&self, number: u8) -> Registry {
        self.open(number, false).await
    }

    /// Addresses of the registries that bootstrap the group.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        (1..=SEED_COUNT).map(|seed| self.address(seed)).collect()
    }

    pub fn name(&self, number: u8) -> InstanceName {
        InstanceName::new(&self.address(number).ip().to_string()).unwrap()
    }

    pub async fn stop(&self, registry: Registry) {
        registry.close().await;
    }

    pub fn wipe_disk(&self, number: u8) {
        std::fs::remove_dir_all(self.data_folder(number)).unwrap();
    }

    pub fn settings(&self, number: u8, is_bootstrapping: bool) -> RegistrySettings {
        RegistrySettings {
            data_folder: self.data_folder(number),
            decoder: Arc::new(TestDecoder),
            heartbeat_interval_ms: 1_200,
            inner_address: self.address(number),
            inner_listen: None,
            is_bootstrapping,
            log: Logger::root(Discard, o!()),
            seeds: self.seeds(),
            voters_wanted: 3,
        }
    }

    /// Address on which a registry behind a forwarder listens.
    pub fn listen_address(&self, number: u8) -> SocketAddr {
        self.address(number + 100)
    }

    async fn open(&self, number: u8, is_bootstrapping: bool) -> Registry {
        poll_until(async || {
            let settings = self.settings(number, is_bootstrapping);
            Registry::open(settings).await.ok()
        })
        .await
    }

    fn address(&self, number: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.process_octet, self.group_octet, number);
        SocketAddr::new(IpAddr::V4(ip), self.port)
    }

    fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.path().join(number.to_string())
    }
}

/// Calls a function repeatedly until it returns a value.
pub async fn poll_until<T>(attempt: impl AsyncFn() -> Option<T>) -> T {
    loop {
        if let Some(value) = attempt().await {
            return value;
        }
        sleep(Duration::from_millis(RETRY_INTERVAL_MS)).await;
    }
}

/// Reads the newest document, with retries until it is confirmed.
pub async fn read_newest(registry: &Registry) -> Document {
    poll_until(async || registry.read_newest_document().await.ok()).await
}

/// Decodes documents whose lines are the prefixes of their routes, after the version.
#[derive(Debug)]
pub struct TestDecoder;

impl DocumentDecoder for TestDecoder {
    fn decode(&self, bytes: &[u8]) -> Result<Catalog, String> {
        let text = std::str::from_utf8(bytes).map_err(|error| error.to_string())?;
        let mut lines = text.lines();
        let version = lines.next().unwrap_or_default().parse();
        let service = Service {
            connections_max: 10,
            engine: None,
            name: "forge".to_owned(),
        };
        let routes = lines.map(|prefix| Route {
            attempts_max: 2,
            event_gap_target_ms: 0,
            host: HOST.to_owned(),
            is_public: true,
            name: prefix.to_owned(),
            prefix: prefix.to_owned(),
            priority: 0,
            retry_class: RetryClass::Safe,
            services: vec![WeightedService {
                service_name: "forge".to_owned(),
                weight: 1,
            }],
            target_latency_ms: 300,
            timeout_ms: 2_000,
        });
        Catalog::build(UncheckedDocument {
            customers: None,
            limits: Limits::default(),
            routes: routes.collect(),
            services: vec![service],
            version: version.map_err(|_| "the version is not a number")?,
        })
        .map_err(|error| error.to_string())
    }
}

/// Document for [`TestDecoder`] with routes of [`ROUTE_BYTES`], and one named after its version.
pub fn document(version: u64, route_count: usize) -> Document {
    let mut text = format!("{version}\n/v{version}/\n");
    for number in 0..route_count {
        writeln!(text, "/{number:0width$}/", width = ROUTE_BYTES / 2).unwrap();
    }
    Document {
        bytes: text.into_bytes(),
        version,
    }
}
