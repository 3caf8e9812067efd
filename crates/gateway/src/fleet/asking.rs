//! Questions for room that are on their way to the registry that sums loads.

use std::sync::Arc;

use placement::{Candidate, Demand};
use registry::ReservationOption;

use super::{Fleet, Slot};
use crate::endpoint::Endpoint;

/// A question for room that is not answered yet; given up when dropped.
///
/// Reports of this instance name its number until then, so that the registry keeps the reservation
/// that may have been made.
pub(crate) struct Asking {
    pub(super) demand: Demand,
    pub(super) fleet: Arc<Fleet>,
    pub(super) number: u64,
    /// The best first.
    pub(super) options: Vec<(Arc<Endpoint>, Candidate)>,
}

impl Asking {
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Endpoints to choose from.
    pub(crate) fn options(&self) -> Vec<ReservationOption> {
        let options = self.options.iter();
        options
            .map(|(endpoint, candidate)| ReservationOption {
                candidate: *candidate,
                id: endpoint.id.clone(),
            })
            .collect()
    }

    /// Takes the room that was reserved, unless the endpoint has begun to leave meanwhile.
    pub(crate) fn take(self, at: usize) -> Option<Slot> {
        let (endpoint, _) = self.options.get(at)?;
        if endpoint.is_leaving() {
            return None;
        }
        let mut inner = self.fleet.lock();
        Some(self.fleet.occupy(&mut inner, endpoint, &self.demand))
    }
}

impl Drop for Asking {
    fn drop(&mut self) {
        let awaited = &mut self.fleet.lock().reservations.pending_numbers;
        if let Ok(at) = awaited.binary_search(&self.number) {
            awaited.remove(at);
        }
    }
}
