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
use crate::fleet::{Fleet, PermitRequester, run_permit_requests};
use crate::gateway_state::{ActiveCatalog, GatewayState};
use crate::ingress::Ingress;
use crate::part_evidence::{PartReporter, report_parts};
use crate::settings::GatewaySettings;
use crate::stream_origin::{StreamReporter, report_streams};

/// Shortest interval between load exchanges; about the time between two generations that arrive at
/// all instances of a small deployment.
const EXCHANGE_INTERVAL_MS_MIN: u64 = 50;

/// Longest interval between load exchanges.
const EXCHANGE_INTERVAL_MS_MAX: u64 = 250;

/// Interval between load exchanges per instance; limits the load of the aggregating registry.
const EXCHANGE_INTERVAL_MS_PER_INSTANCE: u64 = 2;

/// Time without a successful exchange after which the load of the other instances is estimated.
const EXCHANGE_AGE_MS_MAX: u64 = 1_000;

/// Number of load exchanges after which expired connections are closed and gauges are updated.
const HOUSEKEEPING_EXCHANGES: u32 = 8;

/// Part of the drain timeout that is kept for the end of the process.
const EXIT_MARGIN_MS: u64 = 400;

/// Errors of [`Gateway::bind`].
#[derive(Debug, ThisError)]
pub enum Error {
    /// A listener could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the listener.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Handle of a running gateway.
pub struct Gateway {
    ingress: Ingress,
    state: Arc<GatewayState>,
}

impl Gateway {
    /// Listens for clients and for readiness checks, and subscribes to the registries.
    ///
    /// # Errors
    ///
    /// Fails if a listener cannot be bound.
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
            ready_address,
            ready_path,
            retry_limits,
            subscription,
            topology,
        } = settings;
        let (permit_requester, needed_permits) = PermitRequester::new();
        let fleet = Fleet::new(topology, permit_requester);
        let active_catalog = ActiveCatalog::new(&fleet);
        let subscription = Subscription::spawn(subscription, active_catalog.clone());
        let (stream_reporter, begun_streams) = StreamReporter::new();
        let (part_reporter, part_reports) = PartReporter::new();
        let state = Arc::new(GatewayState {
            active_catalog,
            budgets: Mutex::new(Vec::new()),
            dialect,
            drain_timeout_ms,
            drain_end: watch::channel(None).0,
            fleet,
            log,
            metrics,
            part_reporter,
            reservations_paused_until_ms: AtomicU64::new(0),
            retry_limits,
            stream_reporter,
            subscription,
        });
        let ingress = Ingress::bind(&state, client_address, ready_address, ready_path).await?;
        tokio::spawn(watch_endpoints(Arc::clone(&state)));
        tokio::spawn(exchange_loads(Arc::clone(&state)));
        tokio::spawn(run_permit_requests(Arc::clone(&state), needed_permits));
        tokio::spawn(report_streams(Arc::clone(&state), begun_streams));
        tokio::spawn(report_parts(Arc::clone(&state), part_reports));
        Ok(Self { ingress, state })
    }

    /// Adds registries to the subscription, such as new seeds.
    pub fn add_registries(&self, addresses: &[SocketAddr]) {
        self.state.subscription.add_registries(addresses);
    }

    /// Accepts no new connections, and returns once all requests have ended or the drain timeout is
    /// over. Requests whose endpoint is silent are answered before.
    pub async fn drain(self) {
        let started_at = Instant::now();
        info!(self.state.log, "draining"; "connections" => self.ingress.connection_count());
        let drain_ms = self.state.drain_timeout_ms.saturating_sub(EXIT_MARGIN_MS);
        let end = started_at + Duration::from_millis(drain_ms);
        self.state.drain_end.send_replace(Some(end));
        self.ingress.drain(end).await;
        info!(self.state.log, "drained"; "duration_ms" => elapsed_ms(started_at));
    }
}

async fn watch_endpoints(gateway: Arc<GatewayState>) {
    let mut endpoints = gateway.subscription.endpoints();
    loop {
        let known = Arc::clone(&endpoints.borrow_and_update());
        gateway.fleet.set_endpoints(&known);
        if endpoints.changed().await.is_err() {
            return;
        }
    }
}

/// Reports the loads of this instance to the aggregating registry, and applies its answers.
async fn exchange_loads(gateway: Arc<GatewayState>) {
    let mut last_answer_at = Instant::now();
    let mut round = 0_u32;
    loop {
        let instances = u64::from(gateway.subscription.subscriber_count());
        let interval_ms = instances * EXCHANGE_INTERVAL_MS_PER_INSTANCE;
        let interval_ms = interval_ms.clamp(EXCHANGE_INTERVAL_MS_MIN, EXCHANGE_INTERVAL_MS_MAX);
        sleep(Duration::from_millis(interval_ms)).await;
        round = round.wrapping_add(1);
        if round.is_multiple_of(HOUSEKEEPING_EXCHANGES) {
            gateway.fleet.close_expired_connections();
            gateway.update_gauges();
        }
        let subscribed = gateway.fleet.subscribed_endpoints();
        let (loads, reservations) = gateway.fleet.report_loads();
        let services = gateway.service_loads();
        let limits = gateway.fleet.report_limits();
        let exchange =
            gateway
                .subscription
                .exchange_loads(subscribed, loads, reservations, services, limits);
        match exchange.await {
            Ok(aggregate) => {
                if aggregate.needs_endpoint_names {
                    gateway.fleet.resend_subset();
                }
                last_answer_at = Instant::now();
                for limit in gateway.fleet.apply_limits(&aggregate.limits) {
                    info!(gateway.log, "limit of endpoint changed"; "endpoint" => &limit.id,
                        "requests_per_1000_s" => limit.requests_per_1000_s, "source" => "report",
                        "age_ms" => limit.age_ms);
                }
                gateway.fleet.apply_aggregate(&aggregate, interval_ms);
                gateway.apply_service_aggregate(&aggregate.services);
            }
            Err(error) => {
                gateway.fleet.resend_subset();
                // Pauses of endpoints end without an exchange too.
                gateway.fleet.serve_queue();
                debug!(gateway.log, "load exchange failed"; "error" => %error);
                if last_answer_at.elapsed() >= Duration::from_millis(EXCHANGE_AGE_MS_MAX) {
                    gateway
                        .fleet
                        .estimate_other_loads(gateway.subscription.subscriber_count());
                }
            }
        }
    }
}
