//! Finds room for requests.
//!
//! Generations ask the registry that sums loads, which knows every one that was placed before. Where
//! it is silent, and for plain requests, which are short and many, this instance chooses by the
//! sums that it has.

use std::sync::atomic::Ordering;

use registry::ReservationAnswer;
use slog::debug;

use crate::fleet::{Slot, Want};
use crate::outcome::Refusal;
use crate::shared::Shared;

/// Time for which a registry that did not answer is not asked for room again, so that only one
/// request in it waits in vain.
const PAUSE_MS: u64 = 500;

/// What came of asking the registry.
enum Asked {
    Full,
    Room(Slot),
    Silent,
}

impl Asked {
    /// Name in metrics.
    fn name(&self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Room(_) => "room",
            Self::Silent => "silent",
        }
    }
}

impl Shared {
    /// Room for a request, once there is some; refuses where none is expected in time.
    pub(crate) async fn admit(&self, want: &Want) -> Result<Slot, Refusal> {
        if want.demand.predicted_tokens == 0 {
            return self.fleet.admit(want).await;
        }
        match self.ask(want).await {
            Asked::Full => self.fleet.wait(want).await,
            Asked::Room(slot) => Ok(slot),
            Asked::Silent => self.fleet.admit(want).await,
        }
    }

    /// Room for a run that moves, if there is any that a copy reaches in time.
    pub(crate) async fn admit_move(&self, want: &Want) -> Option<Slot> {
        match self.ask(want).await {
            Asked::Full => None,
            Asked::Room(slot) => Some(slot),
            Asked::Silent => self.fleet.take(want),
        }
    }

    async fn ask(&self, want: &Want) -> Asked {
        let asked = self.reserve(want).await;
        self.metrics.asked_for_room(asked.name());
        asked
    }

    async fn reserve(&self, want: &Want) -> Asked {
        let now_ms = self.fleet.now_ms();
        if now_ms < self.reservations_paused_until_ms.load(Ordering::Relaxed) {
            return Asked::Silent;
        }
        let Some(asking) = self.fleet.ask(want) else {
            return Asked::Silent;
        };
        let (number, options) = (asking.number(), asking.options());
        let reservation = self
            .subscription
            .request_reservation(number, &want.demand, options);
        match reservation.await {
            Ok(ReservationAnswer::Full) => Asked::Full,
            Ok(ReservationAnswer::Reserved(at)) => {
                asking.take(at).map_or(Asked::Silent, Asked::Room)
            }
            Ok(ReservationAnswer::LoadsUnknown) => Asked::Silent,
            Err(error) => {
                debug!(self.log, "room not reserved"; "error" => %error);
                let until_ms = self.fleet.now_ms() + PAUSE_MS;
                self.reservations_paused_until_ms
                    .store(until_ms, Ordering::Relaxed);
                Asked::Silent
            }
        }
    }
}
