//! Planned stop of an instance without interrupting a request.
//!
//! The instance first reports that it is not ready, and serves on until the load balancer has
//! noticed. It then admits no requests and grants no permits, its shards move to other owners, and
//! its running requests end, however long they take. Last, it transfers leadership.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use control::GroupHandle;
use entry::Entry;
use names::InstanceName;
use session::Member;
use slog::{Logger, info, warn};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::held_permits::HeldPermits;
use crate::published_state::PublishedState;

/// Timeout of each step after the last request has ended.
const HANDOVER_TIMEOUT_MS: u64 = 10_000;

/// Time between two checks of a step.
const POLL_INTERVAL_MS: u64 = 50;

/// Task that carries out a planned stop.
pub(crate) struct Drainer {
    pub(crate) control: Option<Arc<GroupHandle>>,
    pub(crate) drain: watch::Receiver<bool>,
    pub(crate) drain_wait_ms: u64,
    pub(crate) drained: watch::Sender<bool>,
    pub(crate) draining: Arc<AtomicBool>,
    pub(crate) entry: Arc<Entry>,
    pub(crate) held_permits: Arc<HeldPermits>,
    pub(crate) log: Logger,
    pub(crate) member: Member,
    pub(crate) published: Arc<PublishedState>,
    pub(crate) voters: Vec<InstanceName>,
}

impl Drainer {
    /// Waits until a stop is requested, and carries it out.
    pub(crate) async fn run(mut self) {
        if self.drain.wait_for(|drain| *drain).await.is_err() {
            return;
        }
        info!(self.log, "draining"; "wait_ms" => self.drain_wait_ms);
        self.published.set_unready();
        sleep(Duration::from_millis(self.drain_wait_ms)).await;
        self.entry.begin_drain();
        self.draining.store(true, Ordering::SeqCst);
        self.entry.drain().await;
        self.wait_until("shards moved", || !self.owns_shards())
            .await;
        self.wait_until("permits reported", || {
            self.held_permits.full_reports().is_empty()
        })
        .await;
        self.transfer_leadership().await;
        info!(self.log, "drained");
        self.drained.send_replace(true);
    }

    /// Transfers leadership to the first voter that accepts it.
    async fn transfer_leadership(&self) {
        let Some(control) = &self.control else {
            return;
        };
        if !control.leader_status().borrow().is_leader {
            return;
        }
        for voter in self
            .voters
            .iter()
            .filter(|voter| **voter != self.member.name)
        {
            if control.transfer_leadership(voter.clone()).await.is_err() {
                continue;
            }
            self.wait_until("leadership handed over", || {
                !control.leader_status().borrow().is_leader
            })
            .await;
            if !control.leader_status().borrow().is_leader {
                return;
            }
        }
    }

    fn owns_shards(&self) -> bool {
        self.published.lock().assignments.iter().any(|assignment| {
            assignment.owner == self.member.name
                && assignment.incarnation == self.member.incarnation
        })
    }

    async fn wait_until(&self, step: &'static str, is_done: impl Fn() -> bool) {
        let deadline = Instant::now() + Duration::from_millis(HANDOVER_TIMEOUT_MS);
        while !is_done() {
            if Instant::now() >= deadline {
                warn!(self.log, "drain step timed out, continuing"; "what" => step);
                return;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }
}
