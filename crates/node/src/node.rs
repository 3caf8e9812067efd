use std::net::SocketAddr;
use std::sync::Arc;

use admin::Admin;
use entry::Entry;
use names::InstanceName;
use protocol::{Listener, Traffic};
use rand::RngExt;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::announcements;
use crate::error::Error;
use crate::parts::Parts;
use crate::settings::Settings;

/// One running instance.
pub struct Node {
    addresses: Addresses,
    drain: watch::Sender<bool>,
    drained: watch::Receiver<bool>,
    entry: Arc<Entry>,
    log: Logger,
    name: InstanceName,
    /// End with the node.
    _admin: Admin,
    _tasks: JoinSet<()>,
}

/// Where an instance listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For operators.
    pub admin: SocketAddr,
    /// For callers.
    pub caller: SocketAddr,
    /// For endpoints.
    pub endpoint: SocketAddr,
    /// For other instances.
    pub inner: SocketAddr,
}

impl Node {
    /// Starts an instance; it stops at once when dropped.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on or the replicated state cannot be opened.
    pub async fn open(settings: Settings) -> Result<Self, Error> {
        let traffic = Arc::new(Traffic::default());
        let inner = Listener::bind(settings.inner_address, &settings.fleet_key, &traffic).await?;
        let endpoints = announcements::bind(settings.endpoint_address).await?;
        let parts = Parts::open(&settings, inner.address(), &traffic)?;
        let entry = Entry::bind(entry_settings(&settings), parts.border(&settings)).await?;
        let entry = Arc::new(entry);
        let drain = watch::Sender::new(false);
        let operators = parts.operators(&settings, &entry, &drain);
        let scrape = parts.scrape(&traffic);
        let admin = Admin::bind(
            settings.admin_address,
            Arc::new(operators),
            Arc::new(scrape),
            &settings.log,
        )
        .await?;
        let addresses = Addresses {
            admin: admin.address(),
            caller: entry.address(),
            endpoint: local_address(&endpoints)?,
            inner: inner.address(),
        };
        log_start(&settings, &addresses);
        let (done, stopped) = watch::channel(false);
        let drainer = parts.drainer(&settings, &entry, &drain, done);
        Ok(Self {
            _admin: admin,
            _tasks: parts.spawn(&settings, inner, endpoints, drainer),
            addresses,
            drain,
            drained: stopped,
            entry,
            log: settings.log,
            name: settings.name,
        })
    }

    /// Where the instance listens.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a planned stop; false where one has begun before.
    #[must_use]
    pub fn begin_drain(&self) -> bool {
        !self.drain.send_replace(true)
    }

    /// Waits until a planned stop is complete.
    pub async fn drained(&self) {
        let mut drained = self.drained.clone();
        // The sender goes away only with the node.
        let _ = drained.wait_for(|drained| *drained).await;
    }

    /// Where events are logged.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Name of the instance.
    #[must_use]
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Requests that run through the instance.
    #[must_use]
    pub fn running(&self) -> usize {
        self.entry.running()
    }
}

fn entry_settings(settings: &Settings) -> entry::Settings {
    entry::Settings {
        address: settings.caller_address,
        limits: entry::Limits::default(),
        log: settings.log.clone(),
        region: settings.region.clone(),
        seed: rand::rng().random(),
    }
}

fn local_address(listener: &TcpListener) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Listen {
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        source,
    })
}

fn log_start(settings: &Settings, addresses: &Addresses) {
    info!(settings.log, "serving";
        "instance" => %settings.name,
        "callers" => %addresses.caller,
        "operators" => %addresses.admin,
        "endpoints" => %addresses.endpoint,
        "instances" => %addresses.inner);
}
