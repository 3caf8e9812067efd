//! Answers subscribers: the leader from the replicated state, a relay from its copy of the
//! published state.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::GroupHandle;
use names::{InstanceName, LogIndex};
use protocol::{SyncAnswer, SyncRequest, SyncUpdate};
use session::{
    CONFIGURATION_LEASE_MS, HEARTBEAT_INTERVAL_MS, Heartbeat, HeartbeatResult, Shard,
    SubscriberTracker,
};
use slog::{Logger, info, warn};
use table::Revision;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::leadership_confirmation::LeadershipConfirmation;
use crate::published_state::{PublishedData, PublishedState};
use crate::state::SharedReplicatedState;

/// Time after a change in which further changes are collected into the same answer.
const CHANGE_COLLECTION_MS: u64 = 10;

/// Answers the subscribers of this instance.
#[derive(Debug)]
pub(crate) struct StatePublisher {
    clock: Clock,
    instance: InstanceName,
    leadership: Option<LeadershipConfirmation>,
    log: Logger,
    progress: Mutex<SubscriberProgress>,
    published: Arc<PublishedState>,
    state: SharedReplicatedState,
}

/// Subscribers of this instance and what they have applied.
#[derive(Debug)]
struct SubscriberProgress {
    /// Whether the last leadership confirmation succeeded.
    is_leader: bool,
    /// Accepted revisions that are not yet known to be in force.
    pending: Vec<AcceptedRevision>,
    /// Last term in which this instance was leader.
    term: Option<u64>,
    tracker: SubscriberTracker,
}

/// Revision of the table and the time at which this instance copied it.
#[derive(Debug, Clone, Copy)]
struct AcceptedRevision {
    accepted_ms: u64,
    revision: LogIndex,
}

impl StatePublisher {
    pub(crate) fn new(
        instance: &InstanceName,
        control: Option<&Arc<GroupHandle>>,
        state: &SharedReplicatedState,
        published: &Arc<PublishedState>,
        clock: Clock,
        log: &Logger,
    ) -> Self {
        Self {
            clock,
            instance: instance.clone(),
            leadership: control.map(LeadershipConfirmation::new),
            log: log.clone(),
            progress: Mutex::new(SubscriberProgress {
                is_leader: false,
                pending: Vec::new(),
                term: None,
                tracker: SubscriberTracker::new(clock.now_ms(), 0),
            }),
            published: Arc::clone(published),
            state: state.clone(),
        }
    }

    /// Last heartbeats of the live subscribers of this instance.
    pub(crate) fn heartbeats(&self) -> Vec<Heartbeat> {
        let now_ms = self.clock.now_ms();
        let mut progress = self.lock();
        progress.tracker.expire(now_ms);
        progress.tracker.heartbeats(now_ms)
    }

    /// Whether the roster contains every live instance.
    pub(crate) fn knows_all_members(&self) -> bool {
        self.lock().tracker.knows_all_members(self.clock.now_ms())
    }

    /// Runs one leader round if a quorum confirms this instance as leader; returns whether it does.
    ///
    /// Copies the replicated state into the published state, records the heartbeat of the instance
    /// itself, and renews its lease.
    pub(crate) async fn run_leader_round(&self, own: &Heartbeat) -> bool {
        let sent_ms = self.clock.now_ms();
        let Some(term) = self.confirmed_term().await else {
            self.step_down();
            return false;
        };
        // Leases from an earlier leader expire at most one lease period after the confirmation.
        let now_ms = self.clock.now_ms();
        self.begin_term(now_ms, term);
        self.copy_replicated_state();
        let mut progress = self.lock();
        progress.tracker.record_heartbeat(now_ms, own);
        for instance in progress.tracker.expire(now_ms) {
            warn!(self.log, "instance lost"; "instance" => %instance);
        }
        let in_force_revision = progress.remove_in_force_revisions(now_ms);
        let mut published = self.published.lock();
        let changed = Self::publish_roster(&mut published, &progress)
            || published.in_force_revision < in_force_revision;
        published.in_force_revision = published.in_force_revision.max(in_force_revision);
        published.leader = Some(self.instance.clone());
        published.lease.renew(sent_ms, CONFIGURATION_LEASE_MS);
        drop(published);
        drop(progress);
        if changed {
            self.published.notify();
        }
        true
    }

    /// Answers a subscriber as soon as there is an update for it, at latest after a heartbeat
    /// interval.
    pub(crate) async fn sync(&self, request: &SyncRequest) -> SyncAnswer {
        let received_ms = self.clock.now_ms();
        let heartbeat_result = self.record_heartbeats(request);
        // A publisher without a lease may know only processes that ended long ago.
        if !self.may_publish() {
            return SyncAnswer::NotPublisher {
                leader: self.published.lock().leader.clone(),
            };
        }
        if heartbeat_result == HeartbeatResult::Superseded {
            return SyncAnswer::Superseded;
        }
        self.published.request_owners(&request.unowned_shards);
        let mut changes = self.published.changes();
        let interval = Duration::from_millis(request.wait_ms.min(HEARTBEAT_INTERVAL_MS));
        let waiting = async {
            while !self.has_update(request) {
                if changes.changed().await.is_err() {
                    return;
                }
            }
            sleep(Duration::from_millis(CHANGE_COLLECTION_MS)).await;
        };
        // Without an update the answer only renews the lease.
        let _ = timeout(interval, waiting).await;
        self.answer(request, received_ms).await
    }

    /// Shards that endpoints announced and that have no owner.
    pub(crate) fn unowned_shards(&self) -> Vec<Shard> {
        self.published.lock().unowned_shards.clone()
    }

    async fn answer(&self, request: &SyncRequest, received_ms: u64) -> SyncAnswer {
        let is_leader = self.confirmed_term().await.is_some();
        if is_leader {
            self.copy_replicated_state();
        }
        let published = self.published.lock();
        let (Some(leader), Some(lease_ms)) = (
            published.leader.clone(),
            self.lease_ms(&published, is_leader, received_ms),
        ) else {
            return SyncAnswer::NotPublisher {
                leader: published.leader.clone(),
            };
        };
        SyncAnswer::Update(SyncUpdate {
            assignments: published
                .assignments
                .update_since(request.assignments_index),
            in_force_revision: published.in_force_revision,
            leader,
            lease_ms,
            roster: published
                .roster
                .update_since(request.roster_epoch, request.roster_version),
            table: published
                .table_view
                .publication_since(Revision(request.table_revision.0)),
        })
    }

    /// Starts with a new tracker if `term` is new.
    ///
    /// A leader that is confirmed again in the same term has been the only leader since, so it
    /// keeps its tracker; the versions of the roster must not restart within a term.
    fn begin_term(&self, now_ms: u64, term: u64) {
        let mut progress = self.lock();
        progress.is_leader = true;
        if progress.term == Some(term) {
            return;
        }
        info!(self.log, "leading"; "term" => term);
        progress.term = Some(term);
        progress.tracker = SubscriberTracker::new(now_ms, term);
        progress.pending = vec![AcceptedRevision {
            accepted_ms: now_ms,
            revision: LogIndex(self.state.lock().table.revision().0),
        }];
    }

    /// Term in which a quorum confirms, after the start of the call, that this instance is leader.
    async fn confirmed_term(&self) -> Option<u64> {
        self.leadership.as_ref()?.confirmed_term().await
    }

    /// Copies changes of the replicated state into the published state.
    fn copy_replicated_state(&self) {
        let mut progress = self.lock();
        let state = self.state.lock();
        let mut published = self.published.lock();
        // Read under the locks, so that no answer composed after this time lacks the changes.
        let now_ms = self.clock.now_ms();
        let mut changed = false;
        if state.table.revision() > published.table_view.revision() {
            let publication = state
                .table
                .publication_since(published.table_view.revision());
            published.table_view.apply(publication);
            progress.pending.push(AcceptedRevision {
                accepted_ms: now_ms,
                revision: LogIndex(published.table_view.revision().0),
            });
            changed = true;
        }
        if let Some(update) = state
            .assignments
            .update_since(published.assignments.applied_index())
        {
            published.assignments.merge(&update);
            changed = true;
        }
        drop(published);
        drop(state);
        drop(progress);
        if changed {
            self.published.notify();
        }
    }

    fn has_update(&self, request: &SyncRequest) -> bool {
        let published = self.published.lock();
        published.table_view.revision().0 > request.table_revision.0
            || published.assignments.applied_index() > request.assignments_index
            || published
                .roster
                .update_since(request.roster_epoch, request.roster_version)
                .is_some()
    }

    fn lease_ms(
        &self,
        published: &PublishedData,
        is_leader: bool,
        received_ms: u64,
    ) -> Option<u64> {
        if is_leader {
            return Some(CONFIGURATION_LEASE_MS);
        }
        published
            .lease
            .relayed_lease_ms(self.clock.now_ms(), received_ms)
    }

    fn lock(&self) -> MutexGuard<'_, SubscriberProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an answer may contain a lease, judged without asking a quorum.
    fn may_publish(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.leadership
            .as_ref()
            .is_some_and(LeadershipConfirmation::may_lead)
            || self
                .published
                .lock()
                .lease
                .relayed_lease_ms(now_ms, now_ms)
                .is_some()
    }

    fn publish_roster(published: &mut PublishedData, progress: &SubscriberProgress) -> bool {
        let roster = progress.tracker.roster();
        match roster.update_since(published.roster.epoch(), published.roster.version()) {
            Some(update) => {
                published.roster.apply(&update);
                true
            }
            None => false,
        }
    }

    /// Records the heartbeats of a request; the first is the subscriber's own.
    fn record_heartbeats(&self, request: &SyncRequest) -> HeartbeatResult {
        let Some((own, forwarded)) = request.heartbeats.split_first() else {
            return HeartbeatResult::Accepted;
        };
        let now_ms = self.clock.now_ms();
        let mut progress = self.lock();
        for heartbeat in forwarded {
            progress
                .tracker
                .record_forwarded_heartbeat(now_ms, heartbeat);
        }
        // The leader's roster contains newer incarnations that a relay has no heartbeat of.
        let is_superseded =
            !progress.is_leader && self.published.lock().roster.supersedes(&own.member);
        if is_superseded {
            return HeartbeatResult::Superseded;
        }
        progress.tracker.record_heartbeat(now_ms, own)
    }

    fn step_down(&self) {
        let mut progress = self.lock();
        if progress.is_leader {
            info!(self.log, "no longer leading");
            progress.is_leader = false;
        }
    }
}

impl SubscriberProgress {
    /// Removes the pending revisions up to the greatest in force, and returns that one.
    fn remove_in_force_revisions(&mut self, now_ms: u64) -> LogIndex {
        let tracker = &self.tracker;
        let in_force_revision = self
            .pending
            .iter()
            .filter(|accepted| tracker.is_in_force(now_ms, accepted.revision, accepted.accepted_ms))
            .map(|accepted| accepted.revision)
            .max()
            .unwrap_or_default();
        self.pending
            .retain(|accepted| accepted.revision > in_force_revision);
        in_force_revision
    }
}
