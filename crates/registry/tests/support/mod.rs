//! Group of registries on loopback addresses with one port. The data folder of a registry outlives
//! it, so that the registry can be restarted.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod forwarder;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use names::InstanceName;
use registry::{Document, Registry, RegistrySettings};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::time::sleep;

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
