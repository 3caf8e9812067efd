use std::net::SocketAddr;
use std::sync::Arc;

use admin::AdminServer;
use entry::Entry;
use names::InstanceName;
use protocol::{Listener, Traffic};
use rand::RngExt;
use slog::{Logger, info};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::announcements;
use crate::components::Components;
use crate::error::Error;
use crate::settings::Settings;

/// A running instance; dropping it stops all of its tasks.
pub struct Node {
    addresses: Addresses,
    drain: watch::Sender<bool>,
    drain_completion: watch::Receiver<bool>,
    entry: Arc<Entry>,
    log: Logger,
    name: InstanceName,
    /// Kept so that the admin server and the tasks stop when the node is dropped.
    _admin: AdminServer,
    _tasks: JoinSet<()>,
}

/// Addresses that an instance listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For operators.
    pub admin: SocketAddr,
    /// For clients.
    pub client: SocketAddr,
    /// For endpoints.
    pub endpoint: SocketAddr,
    /// For other instances.
    pub inner: SocketAddr,
}

impl Node {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound, or the replicated state or the metrics cannot be
    /// opened.
    pub async fn open(settings: Settings) -> Result<Self, Error> {
        let traffic = Arc::new(Traffic::default());
        let inner = Listener::bind(settings.inner_address, &settings.fleet_key, &traffic).await?;
        let announcement_listener = announcements::bind(settings.endpoint_address).await?;
        let components = Components::open(&settings, inner.address(), &traffic)?;
        let entry = Entry::bind(
            entry_settings(&settings),
            components.dependencies(&settings),
        )
        .await?;
        let entry = Arc::new(entry);
        let drain = watch::Sender::new(false);
        let operator_backend = components.operator_backend(&settings, &entry, &drain);
        let metrics_exporter = components.metrics_exporter(&traffic);
        let admin = AdminServer::bind(
            settings.admin_address,
            Arc::new(operator_backend),
            Arc::new(metrics_exporter),
            &settings.log,
        )
        .await?;
        let addresses = Addresses {
            admin: admin.address(),
            client: entry.address(),
            endpoint: local_address(&announcement_listener)?,
            inner: inner.address(),
        };
        log_start(&settings, &addresses);
        let (completion_sender, completion) = watch::channel(false);
        let drainer = components.drainer(&settings, &entry, &drain, completion_sender);
        Ok(Self {
            _admin: admin,
            _tasks: components.spawn(&settings, inner, announcement_listener, drainer),
            addresses,
            drain,
            drain_completion: completion,
            entry,
            log: settings.log,
            name: settings.name,
        })
    }

    /// Addresses that the instance listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Begins a planned stop; returns false if one had already begun.
    #[must_use]
    pub fn begin_drain(&self) -> bool {
        !self.drain.send_replace(true)
    }

    /// Logger of the instance.
    pub fn log(&self) -> &Logger {
        &self.log
    }

    /// Name of the instance.
    #[must_use]
    pub fn name(&self) -> &InstanceName {
        &self.name
    }

    /// Number of requests that the instance is serving.
    #[must_use]
    pub fn running_requests(&self) -> usize {
        self.entry.running_requests()
    }

    /// Waits until a planned stop is complete.
    pub async fn wait_until_drained(&self) {
        let mut completion = self.drain_completion.clone();
        // The sender is dropped only with the node.
        let _ = completion.wait_for(|drained| *drained).await;
    }
}

fn entry_settings(settings: &Settings) -> entry::Settings {
    entry::Settings {
        address: settings.client_address,
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
        "callers" => %addresses.client,
        "operators" => %addresses.admin,
        "endpoints" => %addresses.endpoint,
        "instances" => %addresses.inner);
}
