use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use registry::Subscription;
use slog::{debug, info};
use thiserror::Error as ThisError;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::clock::elapsed_ms;
use crate::fleet::Fleet;
use crate::ingress::Ingress;
use crate::settings::GatewaySettings;
use crate::shared::{Catalogs, Shared};

/// Shortest time between two exchanges of loads; about the time between two generations that
/// arrive at all instances of a small deployment.
const EXCHANGE_MS_MIN: u64 = 50;

/// Longest time between two exchanges of loads.
const EXCHANGE_MS_MAX: u64 = 250;

/// Time between two exchanges for each instance, which bounds what reaches the one that sums.
const EXCHANGE_MS_PER_INSTANCE: u64 = 2;

/// Time without an exchange after which the others' load is assumed.
const EXCHANGE_AGE_MS_MAX: u64 = 1_000;

/// Time between two looks at idle connections, in exchanges.
const TRIM_EXCHANGES: u32 = 8;

/// Why a gateway cannot be bound.
#[derive(Debug, ThisError)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
}

/// Handle of a running gateway.
pub struct Gateway {
    ingress: Ingress,
    shared: Arc<Shared>,
}

impl Gateway {
    /// Listens for clients and for the balancer, and follows the registries.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn bind(settings: GatewaySettings) -> Result<Self, Error> {
        let GatewaySettings {
            client_address,
            dialect,
            drain_timeout_ms,
            log,
            metrics,
            topology,
            ready_address,
            ready_path,
            retry_limits,
            subscription,
        } = settings;
        let fleet = Fleet::new(topology);
        let catalogs = Catalogs::new(&dialect, &fleet, &log);
        let subscription = Subscription::spawn(subscription, catalogs.clone());
        let shared = Arc::new(Shared {
            budgets: Mutex::new(Vec::new()),
            catalogs,
            dialect,
            drain_timeout_ms,
            draining: watch::channel(false).0,
            fleet,
            log,
            metrics,
            reservations_paused_until_ms: AtomicU64::new(0),
            retry_limits,
            subscription,
        });
        let ingress = Ingress::bind(&shared, client_address, ready_address, ready_path).await?;
        tokio::spawn(follow_endpoints(Arc::clone(&shared)));
        tokio::spawn(exchange_loads(Arc::clone(&shared)));
        Ok(Self { ingress, shared })
    }

    /// Follows further registries, such as new seeds.
    pub fn add_registries(&self, addresses: &[SocketAddr]) {
        self.shared.subscription.add_registries(addresses);
    }

    /// Takes no new connections, ends what runs, and returns once all has ended or the time for a
    /// planned stop is over.
    pub async fn drain(self) {
        let began = Instant::now();
        info!(self.shared.log, "draining"; "connections" => self.ingress.connections());
        self.shared.draining.send_replace(true);
        self.ingress.drain(self.shared.drain_timeout_ms).await;
        info!(self.shared.log, "drained"; "duration_ms" => elapsed_ms(began));
    }
}

async fn follow_endpoints(shared: Arc<Shared>) {
    let mut endpoints = shared.subscription.endpoints();
    loop {
        let known = Arc::clone(&endpoints.borrow_and_update());
        shared.fleet.set_endpoints(&known);
        if endpoints.changed().await.is_err() {
            return;
        }
    }
}

async fn exchange_loads(shared: Arc<Shared>) {
    let mut last_answer = Instant::now();
    let mut round = 0_u32;
    loop {
        let instances = u64::from(shared.subscription.subscriber_count());
        let interval_ms = instances * EXCHANGE_MS_PER_INSTANCE;
        let interval_ms = interval_ms.clamp(EXCHANGE_MS_MIN, EXCHANGE_MS_MAX);
        sleep(Duration::from_millis(interval_ms)).await;
        round = round.wrapping_add(1);
        if round.is_multiple_of(TRIM_EXCHANGES) {
            shared.fleet.trim();
            shared.note_beliefs();
        }
        let followed = shared.fleet.followed();
        let (loads, reservations) = shared.fleet.loads();
        let services = shared.service_loads();
        let exchange = shared
            .subscription
            .exchange_loads(followed, loads, reservations, services);
        match exchange.await {
            Ok(totals) => {
                if totals.needs_endpoint_names {
                    shared.fleet.name_followed_again();
                }
                last_answer = Instant::now();
                shared.fleet.set_totals(&totals, interval_ms);
                shared.set_service_totals(&totals.services);
            }
            Err(error) => {
                shared.fleet.name_followed_again();
                debug!(shared.log, "loads not exchanged"; "error" => %error);
                if last_answer.elapsed() >= Duration::from_millis(EXCHANGE_AGE_MS_MAX) {
                    shared
                        .fleet
                        .assume_totals(shared.subscription.subscriber_count());
                }
            }
        }
    }
}
