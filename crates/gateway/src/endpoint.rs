use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use placement::Load;
use registry::{EndpointState, Registration};
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

use crate::connection::ConnectionPool;
use crate::{EndpointHealth, EndpointNotice, EventIntervals};

/// Time after the notice of an endpoint's leave in which a generation may return to it. Endpoints serve
/// for longer, but expect no new requests three seconds after their notice.
const RETURN_MS_MAX: u64 = 2_000;

/// One incarnation of an endpoint, with its connections and its statistics at this instance.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) data_centre: String,
    pub(crate) id: String,
    /// Shared by all registrations of the incarnation.
    pub(crate) notice: Arc<Mutex<EndpointNotice>>,
    pub(crate) pool: Arc<ConnectionPool>,
    /// Hash of the id: a random order of the endpoints that is the same on all instances.
    pub(crate) rank: u64,
    pub(crate) service: String,
    pub(crate) software_version: String,
    /// Start of the incarnation, in ms since the Unix epoch.
    pub(crate) started_at_ms: u64,
    leaving: watch::Sender<bool>,
    /// Time from which this instance has known that it leaves.
    leaving_since: OnceLock<Instant>,
    stats: Mutex<EndpointStats>,
}

/// Load and health of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointStats {
    pub(crate) health: EndpointHealth,
    pub(crate) intervals: EventIntervals,
    /// Load from the requests of this instance.
    pub(crate) local_load: Load,
    /// Load from the requests of the other instances, as last aggregated.
    pub(crate) other_load: Load,
}

/// FNV-1a hash with a final mix, so that ids with different ends differ in their first bits.
fn rank(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Endpoint {
    pub(crate) fn new(
        registration: &Registration,
        notice: Arc<Mutex<EndpointNotice>>,
    ) -> Arc<Self> {
        let is_leaving = registration.state != EndpointState::Ready;
        Arc::new(Self {
            data_centre: registration.data_centre.clone(),
            id: registration.id.clone(),
            notice,
            pool: ConnectionPool::new(registration.address),
            rank: rank(&registration.id),
            service: registration.service.clone(),
            software_version: registration.software_version.clone(),
            started_at_ms: registration.started_at_ms,
            leaving: watch::channel(is_leaving).0,
            leaving_since: OnceLock::new(),
            stats: Mutex::new(EndpointStats::default()),
        })
    }

    /// Receives `true` once the endpoint leaves and takes no new requests.
    pub(crate) fn subscribe_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow() || self.notice().is_leaving()
    }

    /// Applies that the endpoint said in a response that it leaves; returns whether this is new.
    pub(crate) fn record_leaving(&self) -> bool {
        let is_new = self.notice().record_leaving();
        self.set_leaving();
        is_new
    }

    /// Applies that the endpoint wants no requests for a time; returns whether this begins a pause.
    pub(crate) fn record_retry_after(&self, now_ms: u64, retry_after_ms: u64) -> bool {
        self.notice().record_retry_after(now_ms, retry_after_ms)
    }

    /// Time until the endpoint takes requests again; 0 unless it is paused.
    pub(crate) fn pause_left_ms(&self, now_ms: u64) -> u64 {
        self.notice().pause_left_ms(now_ms)
    }

    /// Whether a generation that the endpoint has stopped may continue there.
    pub(crate) fn takes_returns(&self) -> bool {
        let since = self.leaving_since.get();
        since.is_none_or(|since| since.elapsed() < Duration::from_millis(RETURN_MS_MAX))
    }

    /// Whether requests may be sent to the endpoint.
    pub(crate) fn takes_requests(&self, now_ms: u64) -> bool {
        !self.is_leaving() && self.pause_left_ms(now_ms) == 0
    }

    /// Time until a request may be sent to the endpoint, as far as its pause and its limit tell.
    pub(crate) fn unavailable_ms(&self, now_ms: u64) -> u64 {
        let notice = self.notice();
        let limit_ms = notice.limit.wait_ms(now_ms);
        notice.pause_left_ms(now_ms).max(limit_ms)
    }

    /// Whether its pause and its limit allow a new request now; it may be leaving nevertheless.
    pub(crate) fn allows_placement(&self, now_ms: u64) -> bool {
        let notice = self.notice();
        !notice.is_paused(now_ms) && notice.limit.allows_request(now_ms)
    }

    /// Whether the endpoint has named a limit on the requests of all instances.
    pub(crate) fn is_limited(&self) -> bool {
        self.notice().limit.requests_per_1000_s().is_some()
    }

    pub(crate) fn notice(&self) -> MutexGuard<'_, EndpointNotice> {
        self.notice.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn set_leaving(&self) {
        self.leaving.send_if_modified(|is_leaving| {
            self.leaving_since.get_or_init(Instant::now);
            let is_changed = !*is_leaving;
            *is_leaving = true;
            is_changed
        });
    }

    /// Load from the requests of all instances.
    pub(crate) fn load(&self) -> Load {
        let stats = self.stats();
        let mut load = stats.local_load;
        load.add(&stats.other_load);
        load
    }

    pub(crate) fn stats(&self) -> MutexGuard<'_, EndpointStats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
