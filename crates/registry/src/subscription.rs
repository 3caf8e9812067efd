use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use placement::Demand;
use slog::{Logger, debug, info, warn};
use tarpc::client::RpcError;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::link::{Link, within};
use crate::rpc::{LoadReport, PollAnswer, PollRequest};
use crate::{
    AggregatedLoads, CoveredReservations, DirectoryView, Document, EndpointLoad, EndpointRecord,
    EndpointView, Error, Lease, ReservationAnswer, ReservationOption, ReservationRequest,
    ServiceLoad, SubscribedEndpoints, SubscriptionSettings, time_since_boot_ms,
};

/// Time that a registry may hold a poll without news.
const HOLD_MS: u64 = 500;

/// Time that an answer may take beyond the hold; then the connection counts as dead.
const ANSWER_SLACK_MS: u64 = 700;

/// Age of the last proof from which polls ask for a new one.
const PROOF_AGE_MS: u64 = 300;

/// Pause before a registry that failed is polled again.
const RETRY_PAUSE_MS: u64 = 100;

/// Longest time for exchanging loads.
const EXCHANGE_TIMEOUT_MS: u64 = 300;

/// Longest time for reserving room: three round trips between regions.
const RESERVE_TIMEOUT_MS: u64 = 75;

/// Failures in a row after which a registry that is no member is forgotten.
const FAILURES_MAX: u32 = 48;

/// Takes newer documents.
pub trait DocumentSink: Send + Sync {
    /// Puts a document in force; returns whether it could be read.
    fn install(&self, document: &Document) -> bool;
}

/// Handle of a running subscription to all registries.
pub struct Subscription {
    shared: Arc<Shared>,
}

struct Shared {
    endpoints: watch::Sender<Arc<Vec<EndpointView>>>,
    log: Logger,
    settings: SubscriptionSettings,
    sink: Arc<dyn DocumentSink>,
    state: Mutex<State>,
}

struct State {
    document_version: u64,
    is_lease_valid: bool,
    lease: Lease,
    /// Registries that are polled, sorted by address.
    registries: Vec<Polled>,
    subscribers: u32,
    view: DirectoryView,
}

struct Polled {
    is_connected: bool,
    is_leader: bool,
    is_member: bool,
    link: Arc<Link>,
}

impl Subscription {
    /// Begins to poll the registries, the seeds first.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    #[must_use]
    pub fn spawn(settings: SubscriptionSettings, sink: Arc<dyn DocumentSink>) -> Self {
        let (endpoints, _) = watch::channel(Arc::new(Vec::new()));
        let seeds = settings.seeds.clone();
        let state = State {
            document_version: 0,
            is_lease_valid: false,
            lease: Lease::new(settings.lease_ms),
            registries: Vec::new(),
            subscribers: 1,
            view: DirectoryView::default(),
        };
        let shared = Arc::new(Shared {
            endpoints,
            log: settings.log.clone(),
            settings,
            sink,
            state: Mutex::new(state),
        });
        let subscription = Self { shared };
        subscription.add_registries(&seeds);
        subscription
    }

    /// Polls further registries, such as new seeds.
    pub fn add_registries(&self, addresses: &[SocketAddr]) {
        self.shared.add_registries(addresses, false);
    }

    /// Endpoints that have not left, as they change.
    #[must_use]
    pub fn endpoints(&self) -> watch::Receiver<Arc<Vec<EndpointView>>> {
        self.shared.endpoints.subscribe()
    }

    /// Whether the document in force is known to be new enough to admit requests.
    #[must_use]
    pub fn is_lease_valid(&self) -> bool {
        self.shared.lock().lease.is_valid(time_since_boot_ms())
    }

    /// Time since the document was last proven the newest.
    #[must_use]
    pub fn lease_age_ms(&self) -> Option<u64> {
        self.shared.lock().lease.age_ms(time_since_boot_ms())
    }

    /// Instances that follow the registries, this one included.
    #[must_use]
    pub fn subscriber_count(&self) -> u32 {
        self.shared.lock().subscribers.max(1)
    }

    /// Reports what this instance runs, and gives the sums over all instances.
    ///
    /// # Errors
    ///
    /// Fails where the registry that sums cannot be reached.
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
    ) -> Result<AggregatedLoads, Error> {
        let link = self.shared.hub().ok_or(Error::Unavailable {
            timeout_ms: EXCHANGE_TIMEOUT_MS,
        })?;
        let client = link.client().await?;
        let report = LoadReport {
            subscribed_endpoints,
            instance: self.shared.settings.instance.clone(),
            loads,
            reservations,
            services,
        };
        let report = postcard::to_stdvec(&report).expect("a report can be encoded");
        let totals = client
            .exchange_loads(within(EXCHANGE_TIMEOUT_MS), report)
            .await;
        let totals = totals.map_err(|error| link.error(&error))?;
        postcard::from_bytes(&totals).map_err(|error| Error::Connect {
            address: link.address(),
            reason: error.to_string(),
        })
    }

    /// Asks for room on one of some endpoints, where the registry that sums loads is connected.
    ///
    /// # Errors
    ///
    /// Fails where that registry does not answer soon.
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
            timeout_ms: RESERVE_TIMEOUT_MS,
        };
        let connected = |link: Arc<Link>| Some((link.connected()?, link));
        let Some((client, link)) = self.shared.hub().and_then(connected) else {
            return Err(unavailable);
        };
        let request = ReservationRequest {
            demand: *demand,
            instance: self.shared.settings.instance.clone(),
            number,
            options,
        };
        let request = postcard::to_stdvec(&request).expect("a request for room can be encoded");
        let reservation = match client.reserve(within(RESERVE_TIMEOUT_MS), request).await {
            Ok(reservation) => reservation,
            // The connection may be sound; exchanges drop one that is not.
            Err(RpcError::DeadlineExceeded) => return Err(unavailable),
            Err(error) => return Err(link.error(&error)),
        };
        postcard::from_bytes(&reservation).map_err(|error| Error::Connect {
            address: link.address(),
            reason: error.to_string(),
        })
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registry that sums loads: the leader, or else the first that is connected.
    fn hub(&self) -> Option<Arc<Link>> {
        let state = self.lock();
        let connected = || state.registries.iter().filter(|polled| polled.is_connected);
        let leader = connected().find(|polled| polled.is_leader);
        let hub = leader.or_else(|| connected().next())?;
        Some(Arc::clone(&hub.link))
    }

    fn add_registries(self: &Arc<Self>, addresses: &[SocketAddr], are_members: bool) {
        let mut state = self.lock();
        for &address in addresses {
            let found = state
                .registries
                .binary_search_by_key(&address, |polled| polled.link.address());
            match found {
                Ok(at) => state.registries[at].is_member |= are_members,
                Err(at) => {
                    let link = Arc::new(Link::new(address));
                    let polled = Polled {
                        is_connected: false,
                        is_leader: false,
                        is_member: are_members,
                        link: Arc::clone(&link),
                    };
                    state.registries.insert(at, polled);
                    tokio::spawn(Arc::clone(self).follow(link));
                }
            }
        }
    }

    async fn follow(self: Arc<Self>, link: Arc<Link>) {
        let mut failures = 0;
        loop {
            match self.poll(&link).await {
                Ok(()) => failures = 0,
                Err(error) => {
                    failures += 1;
                    self.note_failure(&link, failures, &error);
                    if failures >= FAILURES_MAX && self.forget(&link) {
                        return;
                    }
                    sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
                }
            }
        }
    }

    async fn poll(self: &Arc<Self>, link: &Link) -> Result<(), Error> {
        let client = link.client().await?;
        let asked_ms = time_since_boot_ms();
        let request = self.request(link.address(), asked_ms);
        let context = within(HOLD_MS + ANSWER_SLACK_MS);
        let answer = client.poll(context, request).await;
        let answer = answer.map_err(|error| link.error(&error))?;
        self.take(link.address(), asked_ms, &answer);
        Ok(())
    }

    fn request(&self, registry: SocketAddr, now_ms: u64) -> PollRequest {
        let state = self.lock();
        let (directory_epoch, directory_cursor) = state.view.position(registry);
        let age_ms = state.lease.age_ms(now_ms);
        PollRequest {
            directory_cursor,
            directory_epoch,
            document_version: state.document_version,
            hold_ms: HOLD_MS,
            instance: self.settings.instance.clone(),
            wants_confirmation: age_ms.is_none_or(|age_ms| age_ms >= PROOF_AGE_MS),
        }
    }

    fn take(self: &Arc<Self>, registry: SocketAddr, asked_ms: u64, answer: &PollAnswer) {
        let is_installed = match &answer.document {
            Some(document) => self.install(document),
            None => true,
        };
        let mut state = self.lock();
        if answer.is_confirmed && is_installed && state.document_version > 0 {
            state.lease.renew(asked_ms);
        }
        self.note_lease(&mut state);
        state.subscribers = answer.subscribers;
        if let Some(polled) = find(&mut state.registries, registry) {
            if !polled.is_connected {
                info!(self.log, "registry reached"; "registry" => %registry);
            }
            polled.is_connected = true;
            polled.is_leader = answer.is_leader;
        }
        let (epoch, cursor) = (answer.directory_epoch, answer.directory_cursor);
        match postcard::from_bytes::<Vec<EndpointRecord>>(&answer.records) {
            Ok(records) => {
                let is_changed = !records.is_empty();
                state.view.update(registry, epoch, cursor, records);
                if is_changed {
                    self.publish_endpoints(&state);
                }
            }
            Err(error) => {
                // They are asked for again, as the position stays.
                warn!(self.log, "news of endpoints not understood"; "registry" => %registry,
                    "error" => %error);
            }
        }
        drop(state);
        self.add_registries(&answer.registries, true);
    }

    fn install(&self, document: &Document) -> bool {
        let mut state = self.lock();
        if document.version <= state.document_version {
            return true;
        }
        let is_installed = self.sink.install(document);
        if is_installed {
            state.document_version = document.version;
            info!(self.log, "document in force"; "version" => document.version);
        } else {
            warn!(self.log, "document not understood"; "version" => document.version);
        }
        is_installed
    }

    fn note_failure(&self, link: &Link, failures: u32, error: &Error) {
        let registry = link.address();
        let mut state = self.lock();
        self.note_lease(&mut state);
        let Some(polled) = find(&mut state.registries, registry) else {
            return;
        };
        polled.is_leader = false;
        if !polled.is_connected {
            debug!(self.log, "registry not reached"; "registry" => %registry,
                "failures" => failures, "error" => %error);
            return;
        }
        warn!(self.log, "registry lost"; "registry" => %registry, "error" => %error);
        polled.is_connected = false;
        state.view.disconnect(registry);
        self.publish_endpoints(&state);
    }

    fn note_lease(&self, state: &mut State) {
        let is_valid = state.lease.is_valid(time_since_boot_ms());
        if is_valid != state.is_lease_valid {
            state.is_lease_valid = is_valid;
            info!(self.log, "lease changed"; "is_valid" => is_valid,
                "document_version" => state.document_version);
        }
    }

    /// Stops following a registry, unless it is a member or the last one known.
    fn forget(&self, link: &Link) -> bool {
        let mut state = self.lock();
        if state.registries.len() == 1 {
            return false;
        }
        let is_seed = self.settings.seeds.contains(&link.address());
        let found = state
            .registries
            .binary_search_by_key(&link.address(), |polled| polled.link.address());
        match found {
            Ok(at) if !is_seed => {
                // A member that comes back is named by the others again.
                state.registries.remove(at);
                true
            }
            _ => false,
        }
    }

    fn publish_endpoints(&self, state: &State) {
        let endpoints = Arc::new(state.view.endpoints());
        self.endpoints.send_if_modified(|known| {
            let is_changed = **known != *endpoints;
            if is_changed {
                *known = endpoints;
            }
            is_changed
        });
    }
}

fn find(registries: &mut [Polled], address: SocketAddr) -> Option<&mut Polled> {
    let found = registries.binary_search_by_key(&address, |polled| polled.link.address());
    found.ok().map(|at| &mut registries[at])
}
