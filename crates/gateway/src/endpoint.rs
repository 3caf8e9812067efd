use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use placement::Load;
use registry::{EndpointState, Registration};
use tokio::sync::watch;

use crate::connection::Pool;
use crate::{EndpointHealth, EventIntervals};

/// One incarnation of an endpoint as this instance uses it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) data_centre: String,
    pub(crate) id: String,
    pub(crate) pool: Arc<Pool>,
    /// Number that orders the endpoints alike on all instances, and at random.
    pub(crate) rank: u64,
    pub(crate) service: String,
    leaving: watch::Sender<bool>,
    own: Mutex<Own>,
}

/// What this instance does there.
#[derive(Debug, Default)]
pub(crate) struct Own {
    pub(crate) health: EndpointHealth,
    pub(crate) load: Load,
    /// What the other instances run there.
    pub(crate) others: Load,
    pub(crate) intervals: EventIntervals,
}

/// FNV-1a hash with a final mix, so that ids that differ at their ends differ in their first bits.
fn rank(id: &str) -> u64 {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Endpoint {
    pub(crate) fn new(registration: &Registration) -> Arc<Self> {
        let is_leaving = registration.state != EndpointState::Ready;
        Arc::new(Self {
            data_centre: registration.data_centre.clone(),
            id: registration.id.clone(),
            pool: Pool::new(registration.address),
            rank: rank(&registration.id),
            service: registration.service.clone(),
            leaving: watch::channel(is_leaving).0,
            own: Mutex::new(Own::default()),
        })
    }

    /// Whether it takes nothing new, as it changes.
    pub(crate) fn leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    pub(crate) fn leave(&self) {
        self.leaving.send_if_modified(|is_leaving| {
            let is_changed = !*is_leaving;
            *is_leaving = true;
            is_changed
        });
    }

    /// What all instances run there.
    pub(crate) fn load(&self) -> Load {
        let own = self.own();
        let mut load = own.load;
        load.add(&own.others);
        load
    }

    pub(crate) fn own(&self) -> MutexGuard<'_, Own> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
