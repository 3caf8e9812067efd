mod documents;
mod parts;
mod permits;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catalog::Catalog;
use futures::StreamExt;
use futures::future::join_all;
use futures::stream::FuturesUnordered;
use placement::Demand;
use slog::{Logger, debug, info, warn};
use tarpc::client::RpcError;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::connection::{RpcConnection, call_context};
use crate::rpc::{LoadReport, PollAnswer, PollRequest, RegistryRpcClient};
use crate::{
    AggregatedLoads, BegunStreams, CoveredReservations, DirectoryView, EndpointLimit, EndpointLoad,
    EndpointRecord, EndpointView, Error, Lease, PartView, ReservationAnswer, ReservationOption,
    ReservationRequest, ServiceLoad, StreamOrigin, SubscribedEndpoints, SubscriptionSettings,
    time_since_boot_ms,
};

/// Time for which a registry holds a poll without updates.
const POLL_HOLD_MS: u64 = 500;

/// Time beyond the hold within which a poll must be answered; after it, the connection counts as
/// dead.
const POLL_ANSWER_SLACK_MS: u64 = 700;

/// Age of the last confirmation from which polls request a new one.
const CONFIRMATION_AGE_MS: u64 = 300;

/// Delay before a registry is polled again after a failure.
const RETRY_DELAY_MS: u64 = 100;

/// Time limit for exchanging loads.
const EXCHANGE_TIMEOUT_MS: u64 = 300;

/// Time limit for a reservation request: three round trips between regions.
const RESERVATION_TIMEOUT_MS: u64 = 75;

/// Registries that each stream is reported to, so that two may be lost.
const STREAM_REPORT_COPIES: usize = 3;

/// Time limit for reporting streams to one registry: four round trips between regions.
const STREAM_REPORT_TIMEOUT_MS: u64 = 100;

/// Time limit for finding the origin of a stream: four round trips between regions.
const STREAM_ORIGIN_TIMEOUT_MS: u64 = 100;

/// Time limit for finding the only origin of a service: a registry's wait for its last confirmation, and
/// one round of confirmation.
const ONLY_ORIGIN_TIMEOUT_MS: u64 = 350;

/// Consecutive failures after which a registry that is not a seed is removed.
const CONSECUTIVE_FAILURES_MAX: u32 = 48;

/// Receiver of newer catalogs.
pub trait CatalogSink: Send + Sync {
    /// Puts a catalog in force.
    fn install(&self, catalog: &Arc<Catalog>);
}

/// Running subscription to all registries.
pub struct Subscription {
    subscriber: Arc<Subscriber>,
}

/// Parts of a subscription that the polling tasks share.
struct Subscriber {
    endpoints: watch::Sender<Arc<Vec<EndpointView>>>,
    log: Logger,
    /// Random; spreads the instances' reports of streams over the registries.
    registry_offset: usize,
    settings: SubscriptionSettings,
    sink: Arc<dyn CatalogSink>,
    state: Mutex<SubscriberState>,
}

/// Mutable state of a subscription.
struct SubscriberState {
    /// Catalog in force.
    catalog: Option<Arc<Catalog>>,
    directory_view: DirectoryView,
    /// Validity of the lease as last logged.
    is_lease_valid: bool,
    /// Whether a task reads newer documents.
    is_reading_document: bool,
    lease: Lease,
    part_view: PartView,
    /// Sorted by address.
    registries: Vec<PolledRegistry>,
    subscriber_count: u32,
}

/// Registry that a task polls.
struct PolledRegistry {
    connection: Arc<RpcConnection>,
    /// Version that the registry told; 0 while it is not connected.
    document_version: u64,
    is_connected: bool,
    is_leader: bool,
    is_member: bool,
}

impl Subscription {
    /// Starts to poll the registries, beginning with the seeds.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn spawn(settings: SubscriptionSettings, sink: Arc<dyn CatalogSink>) -> Self {
        let (endpoints, _) = watch::channel(Arc::new(Vec::new()));
        let seeds = settings.seeds.clone();
        let state = SubscriberState {
            catalog: None,
            directory_view: DirectoryView::default(),
            is_lease_valid: false,
            is_reading_document: false,
            lease: Lease::new(settings.lease_ms, settings.lease_outdated_ms),
            part_view: PartView::default(),
            registries: Vec::new(),
            subscriber_count: 1,
        };
        let subscriber = Arc::new(Subscriber {
            endpoints,
            log: settings.log.clone(),
            registry_offset: usize::from(rand::random::<u16>()),
            settings,
            sink,
            state: Mutex::new(state),
        });
        let subscription = Self { subscriber };
        subscription.add_registries(&seeds);
        subscription
    }

    /// Polls further registries, such as new seeds.
    pub fn add_registries(&self, addresses: &[SocketAddr]) {
        self.subscriber.add_registries(addresses, false);
    }

    /// Endpoints that have not left; the receiver is notified of changes.
    #[must_use]
    pub fn endpoints(&self) -> watch::Receiver<Arc<Vec<EndpointView>>> {
        self.subscriber.endpoints.subscribe()
    }

    /// Whether the document in force is confirmed recently enough to admit requests.
    #[must_use]
    pub fn is_lease_valid(&self) -> bool {
        let state = self.subscriber.lock();
        state.lease.is_valid(time_since_boot_ms())
    }

    /// Time since the document was last confirmed to be the newest.
    #[must_use]
    pub fn lease_age_ms(&self) -> Option<u64> {
        let state = self.subscriber.lock();
        state.lease.age_ms(time_since_boot_ms())
    }

    /// Number of instances that subscribe to the registries, including this one.
    #[must_use]
    pub fn subscriber_count(&self) -> u32 {
        self.subscriber.lock().subscriber_count.max(1)
    }

    /// Reports the load of this instance, and returns the aggregated load of all instances.
    ///
    /// # Errors
    ///
    /// Fails if the aggregating registry cannot be reached.
    ///
    /// # Panics
    ///
    /// Panics if memory runs out.
    pub async fn exchange_loads(
        &self,
        subscribed_endpoints: SubscribedEndpoints,
        loads: Vec<EndpointLoad>,
        reservations: CoveredReservations,
        services: Vec<ServiceLoad>,
        limits: Vec<EndpointLimit>,
    ) -> Result<AggregatedLoads, Error> {
        let registry = self.subscriber.aggregating_registry();
        let connection = registry.ok_or(Error::Unavailable {
            timeout_ms: EXCHANGE_TIMEOUT_MS,
        })?;
        let client = connection.connect().await?;
        let report = LoadReport {
            subscribed_endpoints,
            instance: self.subscriber.settings.instance.clone(),
            limits,
            loads,
            reservations,
            services,
        };
        let report = postcard::to_stdvec(&report).expect("a report can be encoded");
        let context = call_context(EXCHANGE_TIMEOUT_MS);
        let answer = client.exchange_loads(context, report).await;
        let answer = answer.map_err(|error| connection.disconnect_after(&error))?;
        postcard::from_bytes(&answer).map_err(|error| Error::Connect {
            address: connection.address(),
            reason: error.to_string(),
        })
    }

    /// Requests a reservation on one of several endpoints.
    ///
    /// # Errors
    ///
    /// Fails if the aggregating registry is not connected, or does not answer in time.
    ///
    /// # Panics
    ///
    /// Panics if memory runs out.
    pub async fn request_reservation(
        &self,
        number: u64,
        demand: &Demand,
        options: Vec<ReservationOption>,
    ) -> Result<ReservationAnswer, Error> {
        let unavailable = Error::Unavailable {
            timeout_ms: RESERVATION_TIMEOUT_MS,
        };
        let registry = self.subscriber.aggregating_registry();
        let connected = |connection: Arc<RpcConnection>| {
            let client = connection.connected_client()?;
            Some((client, connection))
        };
        let Some((client, connection)) = registry.and_then(connected) else {
            return Err(unavailable);
        };
        let request = ReservationRequest {
            demand: *demand,
            instance: self.subscriber.settings.instance.clone(),
            number,
            options,
        };
        let request = postcard::to_stdvec(&request).expect("a reservation request can be encoded");
        let context = call_context(RESERVATION_TIMEOUT_MS);
        let answer = match client.reserve(context, request).await {
            Ok(answer) => answer,
            // The connection may still work; if it does not, the next exchange of loads drops it.
            Err(RpcError::DeadlineExceeded) => return Err(unavailable),
            Err(error) => return Err(connection.disconnect_after(&error)),
        };
        postcard::from_bytes(&answer).map_err(|error| Error::Connect {
            address: connection.address(),
            reason: error.to_string(),
        })
    }
}

impl Subscription {
    /// Reports streams that have begun to some of the registries; others take the place of those that do
    /// not answer.
    pub async fn report_streams(&self, begun: &[BegunStreams]) {
        let registries = self.subscriber.connected_registries();
        let mut clients = registries
            .iter()
            .filter_map(|connection| Some((connection, connection.connected_client()?)));
        let mut missing_copies = STREAM_REPORT_COPIES;
        while missing_copies > 0 {
            let reports = clients.by_ref().take(missing_copies);
            let reports = reports.map(async |(connection, client)| {
                let context = call_context(STREAM_REPORT_TIMEOUT_MS);
                let reported = client.record_streams(context, begun.to_vec()).await;
                if let Err(error) = &reported {
                    debug!(self.subscriber.log, "streams not reported";
                        "registry" => %connection.address(), "error" => %error);
                }
                reported.is_ok()
            });
            let results = join_all(reports).await;
            if results.is_empty() {
                warn!(self.subscriber.log, "streams reported to too few registries";
                    "missing_copies" => missing_copies);
                return;
            }
            missing_copies -= results.iter().filter(|is_reported| **is_reported).count();
        }
    }

    /// Finds the service and software version that began the stream of a request; `None` if no
    /// connected registry knows it.
    pub async fn find_stream_origin(&self, request_id: &str) -> Option<StreamOrigin> {
        self.first_origin(async move |client: RegistryRpcClient| {
            let context = call_context(STREAM_ORIGIN_TIMEOUT_MS);
            let request_id = request_id.to_owned();
            client.find_stream_origin(context, request_id).await
        })
        .await
    }

    /// Origin of all streams of a service that clients may still resume; `None` if it has had several
    /// software versions, or no quorum confirms that it has not.
    pub async fn find_only_origin(&self, service: &str) -> Option<StreamOrigin> {
        self.first_origin(async move |client: RegistryRpcClient| {
            let context = call_context(ONLY_ORIGIN_TIMEOUT_MS);
            client.find_only_origin(context, service.to_owned()).await
        })
        .await
    }

    /// First origin that one of the connected registries answers.
    async fn first_origin<F>(&self, find: impl Fn(RegistryRpcClient) -> F) -> Option<StreamOrigin>
    where
        F: Future<Output = Result<Option<StreamOrigin>, RpcError>>,
    {
        let registries = self.subscriber.connected_registries();
        let clients = registries
            .iter()
            .filter_map(|connection| connection.connected_client());
        let mut lookups: FuturesUnordered<_> = clients.map(&find).collect();
        while let Some(answer) = lookups.next().await {
            match answer {
                Ok(None) => {}
                Ok(origin) => return origin,
                Err(error) => {
                    debug!(self.subscriber.log, "origin not found"; "error" => %error);
                }
            }
        }
        None
    }
}

impl Subscriber {
    fn lock(&self) -> MutexGuard<'_, SubscriberState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registry that aggregates loads: the leader if connected, or else the first connected one.
    fn aggregating_registry(&self) -> Option<Arc<RpcConnection>> {
        let state = self.lock();
        let connected = || {
            let registries = state.registries.iter();
            registries.filter(|registry| registry.is_connected)
        };
        let leader = connected().find(|registry| registry.is_leader);
        let registry = leader.or_else(|| connected().next())?;
        Some(Arc::clone(&registry.connection))
    }

    /// Connected registries, in an order of this instance's own.
    fn connected_registries(&self) -> Vec<Arc<RpcConnection>> {
        let state = self.lock();
        let connected = state
            .registries
            .iter()
            .filter(|registry| registry.is_connected);
        let mut connected: Vec<_> = connected
            .map(|registry| Arc::clone(&registry.connection))
            .collect();
        if !connected.is_empty() {
            let first = self.registry_offset % connected.len();
            connected.rotate_left(first);
        }
        connected
    }

    fn add_registries(self: &Arc<Self>, addresses: &[SocketAddr], are_members: bool) {
        let mut state = self.lock();
        for &address in addresses {
            let found = state
                .registries
                .binary_search_by_key(&address, |registry| registry.connection.address());
            match found {
                Ok(index) => state.registries[index].is_member |= are_members,
                Err(index) => {
                    let connection = Arc::new(RpcConnection::new(address));
                    let registry = PolledRegistry {
                        connection: Arc::clone(&connection),
                        document_version: 0,
                        is_connected: false,
                        is_leader: false,
                        is_member: are_members,
                    };
                    state.registries.insert(index, registry);
                    tokio::spawn(Arc::clone(self).poll_repeatedly(connection));
                }
            }
        }
    }

    async fn poll_repeatedly(self: Arc<Self>, connection: Arc<RpcConnection>) {
        let mut consecutive_failures = 0;
        loop {
            match self.poll(&connection).await {
                Ok(()) => consecutive_failures = 0,
                Err(error) => {
                    consecutive_failures += 1;
                    self.record_failure(&connection, consecutive_failures, &error);
                    if consecutive_failures >= CONSECUTIVE_FAILURES_MAX
                        && self.remove_registry(&connection)
                    {
                        return;
                    }
                    sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                }
            }
        }
    }

    async fn poll(self: &Arc<Self>, connection: &RpcConnection) -> Result<(), Error> {
        let client = connection.connect().await?;
        let requested_at_ms = time_since_boot_ms();
        let request = self.poll_request(connection.address(), requested_at_ms);
        let context = call_context(POLL_HOLD_MS + POLL_ANSWER_SLACK_MS);
        let answer = client.poll(context, request).await;
        let answer = answer.map_err(|error| connection.disconnect_after(&error))?;
        self.apply_answer(connection.address(), requested_at_ms, &answer);
        Ok(())
    }

    fn poll_request(&self, registry: SocketAddr, now_ms: u64) -> PollRequest {
        let mut state = self.lock();
        let told_version = find_registry(&mut state.registries, registry)
            .map_or(0, |polled| polled.document_version);
        let (directory_epoch, directory_cursor) = state.directory_view.position(registry);
        let (parts_epoch, parts_version) = state.part_view.position(registry);
        let age_ms = state.lease.age_ms(now_ms);
        PollRequest {
            directory_cursor,
            directory_epoch,
            document_version: told_version.max(state.document_version()),
            hold_ms: POLL_HOLD_MS,
            instance: self.settings.instance.clone(),
            parts_epoch,
            parts_version,
            wants_confirmation: age_ms.is_none_or(|age_ms| age_ms >= CONFIRMATION_AGE_MS),
        }
    }

    fn apply_answer(
        self: &Arc<Self>,
        registry: SocketAddr,
        requested_at_ms: u64,
        answer: &PollAnswer,
    ) {
        let mut state = self.lock();
        self.apply_document_version(&mut state, registry, requested_at_ms, answer);
        self.log_lease_change(&mut state);
        state.subscriber_count = answer.subscriber_count;
        if let Some(polled) = find_registry(&mut state.registries, registry) {
            if !polled.is_connected {
                info!(self.log, "registry reached"; "registry" => %registry);
            }
            polled.is_connected = true;
            polled.document_version = answer.document_version;
            polled.is_leader = answer.is_leader;
        }
        self.apply_parts(&mut state, registry, answer);
        let (epoch, cursor) = (answer.directory_epoch, answer.directory_cursor);
        match postcard::from_bytes::<Vec<EndpointRecord>>(&answer.records) {
            Ok(records) => {
                let is_changed = !records.is_empty();
                state
                    .directory_view
                    .update(registry, epoch, cursor, records);
                if is_changed {
                    self.publish_endpoints(&state);
                }
            }
            Err(error) => {
                // The position in the directory stays, so the next poll requests them again.
                warn!(self.log, "directory changes not decoded"; "registry" => %registry,
                    "error" => %error);
            }
        }
        drop(state);
        self.add_registries(&answer.registries, true);
    }

    fn record_failure(&self, connection: &RpcConnection, consecutive_failures: u32, error: &Error) {
        let registry = connection.address();
        let mut state = self.lock();
        self.log_lease_change(&mut state);
        let Some(polled) = find_registry(&mut state.registries, registry) else {
            return;
        };
        polled.is_leader = false;
        polled.document_version = 0;
        if !polled.is_connected {
            debug!(self.log, "registry not reached"; "registry" => %registry,
                "failures" => consecutive_failures, "error" => %error);
            return;
        }
        warn!(self.log, "registry lost"; "registry" => %registry, "error" => %error);
        polled.is_connected = false;
        state.directory_view.disconnect(registry);
        state.part_view.disconnect(registry);
        self.publish_endpoints(&state);
    }

    fn log_lease_change(&self, state: &mut SubscriberState) {
        let is_valid = state.lease.is_valid(time_since_boot_ms());
        if is_valid != state.is_lease_valid {
            state.is_lease_valid = is_valid;
            info!(self.log, "lease changed"; "is_valid" => is_valid,
                "document_version" => state.document_version());
        }
    }

    /// Removes a registry unless it is a seed or the last one known; returns whether it did.
    fn remove_registry(&self, connection: &RpcConnection) -> bool {
        let mut state = self.lock();
        if state.registries.len() == 1 {
            return false;
        }
        let address = connection.address();
        let is_seed = self.settings.seeds.contains(&address);
        let found = state
            .registries
            .binary_search_by_key(&address, |registry| registry.connection.address());
        match found {
            Ok(index) if !is_seed => {
                // A member that returns is named by the answers of the other registries again.
                state.registries.remove(index);
                true
            }
            _ => false,
        }
    }

    fn publish_endpoints(&self, state: &SubscriberState) {
        let endpoints = Arc::new(state.directory_view.endpoints());
        self.endpoints.send_if_modified(|published| {
            let is_changed = **published != *endpoints;
            if is_changed {
                *published = endpoints;
            }
            is_changed
        });
    }
}

impl SubscriberState {
    /// Version of the document in force; 0 without one.
    fn document_version(&self) -> u64 {
        self.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }
}

fn find_registry(
    registries: &mut [PolledRegistry],
    address: SocketAddr,
) -> Option<&mut PolledRegistry> {
    let found = registries.binary_search_by_key(&address, |registry| registry.connection.address());
    found.ok().map(|index| &mut registries[index])
}
