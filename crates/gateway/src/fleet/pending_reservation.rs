use std::sync::Arc;

use placement::{Candidate, Demand};
use registry::ReservationOption;

use super::{Fleet, Slot};
use crate::endpoint::Endpoint;

/// Reservation request that waits for its answer from the aggregating registry.
///
/// Load reports of this instance list its number until it is dropped, so that the registry keeps a
/// reservation that it may have made.
pub(crate) struct PendingReservation {
    pub(super) demand: Demand,
    pub(super) fleet: Arc<Fleet>,
    pub(super) number: u64,
    /// Suitable endpoints, the best first.
    pub(super) options: Vec<(Arc<Endpoint>, Candidate)>,
}

impl PendingReservation {
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    pub(crate) fn options(&self) -> Vec<ReservationOption> {
        let options = self.options.iter();
        options
            .map(|(endpoint, candidate)| ReservationOption {
                candidate: *candidate,
                id: endpoint.id.clone(),
            })
            .collect()
    }

    /// Occupies the reserved option; `None` if its endpoint has since begun to leave or to pause, or its
    /// permit is used.
    pub(crate) fn occupy(self, option: usize) -> Option<Slot> {
        let (endpoint, _) = self.options.get(option)?;
        let now_ms = self.fleet.now_ms();
        if !endpoint.takes_requests(now_ms) || !endpoint.allows_placement(now_ms) {
            return None;
        }
        let mut state = self.fleet.lock();
        Some(self.fleet.occupy(&mut state, endpoint, &self.demand))
    }
}

impl Drop for PendingReservation {
    fn drop(&mut self) {
        let pending_numbers = &mut self.fleet.lock().reservations.pending_numbers;
        if let Ok(at) = pending_numbers.binary_search(&self.number) {
            pending_numbers.remove(at);
        }
    }
}
