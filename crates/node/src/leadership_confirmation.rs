//! Leadership confirmation (read index), shared by concurrent requests.
//!
//! A confirmation is a round of heartbeats that a quorum answers. Each request gets the result of a
//! round that started after the request. Rounds start at least `ROUND_INTERVAL_MS` apart, so their
//! number does not grow with the number of subscribers.

use std::sync::Arc;
use std::time::Duration;

use control::GroupHandle;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until, timeout};

/// Shortest time between the starts of two rounds.
const ROUND_INTERVAL_MS: u64 = 100;

/// Longest time for a quorum to confirm the leader.
const CONFIRMATION_TIMEOUT_MS: u64 = 250;

/// Confirms the leadership of this voter.
#[derive(Debug)]
pub(crate) struct LeadershipConfirmation {
    control: Arc<GroupHandle>,
    last_round: Mutex<Option<Round>>,
}

/// A finished round; `term` is absent if no quorum answered.
#[derive(Debug, Clone, Copy)]
struct Round {
    started: Instant,
    term: Option<u64>,
}

impl LeadershipConfirmation {
    pub(crate) fn new(control: &Arc<GroupHandle>) -> Self {
        Self {
            control: Arc::clone(control),
            last_round: Mutex::new(None),
        }
    }

    /// Term in which a quorum confirms, after the start of the call, that this instance is leader.
    ///
    /// Everything that was committed before the call has then been applied.
    pub(crate) async fn confirmed_term(&self) -> Option<u64> {
        let requested = Instant::now();
        if !self.may_lead() {
            return None;
        }
        let mut last_round = self.last_round.lock().await;
        if let Some(round) = *last_round {
            if round.started >= requested {
                return round.term;
            }
            sleep_until(round.started + Duration::from_millis(ROUND_INTERVAL_MS)).await;
        }
        let started = Instant::now();
        let round_timeout = Duration::from_millis(CONFIRMATION_TIMEOUT_MS);
        let term = timeout(round_timeout, self.confirm_round())
            .await
            .ok()
            .flatten();
        *last_round = Some(Round { started, term });
        term
    }

    /// Whether this instance was leader by its last known status, without asking a quorum.
    pub(crate) fn may_lead(&self) -> bool {
        self.control.leader_status().borrow().is_leader
    }

    async fn confirm_round(&self) -> Option<u64> {
        let index = self.control.read_index().await.ok()?;
        let mut applied = self.control.applied_index();
        applied.wait_for(|applied| *applied >= index).await.ok()?;
        let role = self.control.leader_status().borrow().clone();
        role.is_leader.then_some(role.term.0)
    }
}
