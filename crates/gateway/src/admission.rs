//! Finds free capacity for requests.
//!
//! Generations request a reservation from the aggregating registry, which knows all earlier
//! reservations. If it does not answer, and for plain requests, which are short and many, this
//! instance chooses by the aggregated loads that it has.

use std::sync::atomic::Ordering;

use registry::ReservationAnswer;
use slog::debug;

use crate::fleet::{PlacementRequest, Slot};
use crate::gateway_state::GatewayState;
use crate::outcome::RequestError;

/// Time without reservation requests after the registry failed to answer one. Only one request per
/// pause waits for an answer in vain.
const RESERVATION_PAUSE_MS: u64 = 500;

/// Outcome of a reservation request.
enum ReservationOutcome {
    Full,
    Reserved(Slot),
    /// No registry decided; this instance has to choose.
    Unavailable,
}

impl ReservationOutcome {
    /// Label value in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Reserved(_) => "room",
            Self::Unavailable => "silent",
        }
    }
}

impl GatewayState {
    /// Occupies a slot, after a wait if necessary; fails if none is expected to be free in time.
    pub(crate) async fn admit(&self, placement: &PlacementRequest) -> Result<Slot, RequestError> {
        if placement.demand.predicted_tokens == 0 {
            return self.fleet.place(placement).await;
        }
        match self.reserve(placement).await {
            ReservationOutcome::Full => self.fleet.wait_in_queue(placement).await,
            ReservationOutcome::Reserved(slot) => Ok(slot),
            ReservationOutcome::Unavailable => self.fleet.place(placement).await,
        }
    }

    /// Occupies a slot for a migration; `None` if no endpoint in reach has free capacity now.
    pub(crate) async fn admit_migration(&self, placement: &PlacementRequest) -> Option<Slot> {
        match self.reserve(placement).await {
            ReservationOutcome::Full => None,
            ReservationOutcome::Reserved(slot) => Some(slot),
            ReservationOutcome::Unavailable => self.fleet.try_place(placement),
        }
    }

    async fn reserve(&self, placement: &PlacementRequest) -> ReservationOutcome {
        let outcome = self.request_reservation(placement).await;
        self.metrics.record_reservation(outcome.name());
        outcome
    }

    async fn request_reservation(&self, placement: &PlacementRequest) -> ReservationOutcome {
        let now_ms = self.fleet.now_ms();
        if now_ms < self.reservations_paused_until_ms.load(Ordering::Relaxed) {
            return ReservationOutcome::Unavailable;
        }
        let Some(pending) = self.fleet.begin_reservation(placement) else {
            return ReservationOutcome::Unavailable;
        };
        let (number, options) = (pending.number(), pending.options());
        let answer = self
            .subscription
            .request_reservation(number, &placement.demand, options);
        match answer.await {
            Ok(ReservationAnswer::Full) => ReservationOutcome::Full,
            Ok(ReservationAnswer::Reserved(option)) => pending.occupy(option).map_or(
                ReservationOutcome::Unavailable,
                ReservationOutcome::Reserved,
            ),
            Ok(ReservationAnswer::LoadsUnknown) => ReservationOutcome::Unavailable,
            Err(error) => {
                debug!(self.log, "reservation request failed"; "error" => %error);
                let until_ms = self.fleet.now_ms() + RESERVATION_PAUSE_MS;
                self.reservations_paused_until_ms
                    .store(until_ms, Ordering::Relaxed);
                ReservationOutcome::Unavailable
            }
        }
    }
}
