//! Proofs of leadership, shared by all who ask at about the same time.
//!
//! A proof is a round of heartbeats that a quorum answers. Whoever asks gets a round that began
//! after the question; rounds begin some time apart, so their number does not grow with the number
//! of subscribers.

use std::sync::Arc;
use std::time::Duration;

use control::GroupHandle;
use tokio::sync::Mutex;
use tokio::time::{Instant, sleep_until, timeout};

/// Time between the beginnings of two rounds.
const ROUND_INTERVAL_MS: u64 = 100;

/// Longest time for a quorum to confirm the leader.
const CONFIRMATION_TIMEOUT_MS: u64 = 250;

/// Proofs of one voter's leadership.
#[derive(Debug)]
pub(crate) struct LeadershipConfirmation {
    control: Arc<GroupHandle>,
    last: Mutex<Option<Round>>,
}

#[derive(Debug, Clone, Copy)]
struct Round {
    started: Instant,
    term: Option<u64>,
}

impl LeadershipConfirmation {
    pub(crate) fn new(control: &Arc<GroupHandle>) -> Self {
        Self {
            control: Arc::clone(control),
            last: Mutex::new(None),
        }
    }

    /// Term in which a quorum confirms, after the call began, that this instance leads.
    ///
    /// The state then holds everything that was committed before the call.
    pub(crate) async fn confirmed_term(&self) -> Option<u64> {
        let requested = Instant::now();
        if !self.may_lead() {
            return None;
        }
        let mut last = self.last.lock().await;
        if let Some(confirm_round) = *last {
            if confirm_round.started >= requested {
                return confirm_round.term;
            }
            sleep_until(confirm_round.started + Duration::from_millis(ROUND_INTERVAL_MS)).await;
        }
        let started = Instant::now();
        let time = Duration::from_millis(CONFIRMATION_TIMEOUT_MS);
        let term = timeout(time, self.confirm_round()).await.ok().flatten();
        *last = Some(Round { started, term });
        term
    }

    /// Whether this instance leads, as far as it knows.
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
