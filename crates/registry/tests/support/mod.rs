//! Registries on loopback addresses of one port, each with a data folder that outlives it.

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

const LOOK_INTERVAL_MS: u64 = 10;
const SEEDS: u8 = 3;

/// Addresses and folders of one group.
pub struct Ground {
    folder: TempDir,
    group: u8,
    port: u16,
    process: u8,
}

impl Ground {
    /// Finds a port that is free on all addresses of a group, which no other test has.
    pub async fn reserve() -> Self {
        static GROUPS: AtomicU8 = AtomicU8::new(1);
        let group = GROUPS.fetch_add(1, Ordering::Relaxed);
        let process = u8::try_from(std::process::id() % 200).unwrap() + 1;
        let first = TcpListener::bind((Ipv4Addr::new(127, process, group, 1), 0))
            .await
            .unwrap();
        Self {
            folder: TempDir::new().unwrap(),
            group,
            port: first.local_addr().unwrap().port(),
            process,
        }
    }

    /// Starts a registry of a deployment that is being founded.
    pub async fn found(&self, number: u8) -> Registry {
        self.open(number, true).await
    }

    pub async fn found_three(&self) -> (Registry, Registry, Registry) {
        (
            self.found(1).await,
            self.found(2).await,
            self.found(3).await,
        )
    }

    /// Starts a registry of a deployment that exists.
    pub async fn join(&self, number: u8) -> Registry {
        self.open(number, false).await
    }

    pub fn name(&self, number: u8) -> InstanceName {
        InstanceName::new(&self.address(number).ip().to_string()).unwrap()
    }

    pub async fn stop(&self, registry: Registry) {
        registry.close().await;
    }

    pub fn wipe(&self, number: u8) {
        std::fs::remove_dir_all(self.data_folder(number)).unwrap();
    }

    async fn open(&self, number: u8, is_bootstrapping: bool) -> Registry {
        until(async || {
            let settings = RegistrySettings {
                data_folder: self.data_folder(number),
                heartbeat_interval_ms: 1_200,
                inner_address: self.address(number),
                inner_listen: None,
                is_bootstrapping,
                log: Logger::root(Discard, o!()),
                seeds: (1..=SEEDS).map(|seed| self.address(seed)).collect(),
                voters_wanted: 3,
            };
            Registry::open(settings).await.ok()
        })
        .await
    }

    fn address(&self, number: u8) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.process, self.group, number);
        SocketAddr::new(IpAddr::V4(ip), self.port)
    }

    fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.path().join(number.to_string())
    }
}

/// Asks again and again until there is an answer.
pub async fn until<T>(ask: impl AsyncFn() -> Option<T>) -> T {
    loop {
        if let Some(answer) = ask().await {
            return answer;
        }
        sleep(Duration::from_millis(LOOK_INTERVAL_MS)).await;
    }
}

/// First answer that a registry is sure of.
pub async fn newest(registry: &Registry) -> Document {
    until(async || registry.read_newest_document().await.ok()).await
}
