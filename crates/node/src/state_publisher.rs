//! Serves subscriptions: at the leader from the replicated state, at a relay from what it holds.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use control::GroupHandle;
use names::{InstanceName, LogIndex};
use protocol::{SyncAnswer, SyncRequest, SyncUpdate};
use session::{
    CONFIGURATION_LEASE_MS, HEARTBEAT_INTERVAL_MS, Heartbeat, HeartbeatResult, Publisher, Shard,
};
use slog::{Logger, info, warn};
use table::Revision;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::leadership_confirmation::LeadershipConfirmation;
use crate::published_state::{PublishedData, PublishedState};
use crate::state::SharedReplicatedState;

/// Time for which changes are collected into one answer.
const CHANGE_COLLECTION_MS: u64 = 10;

/// Publisher of one instance.
#[derive(Debug)]
pub(crate) struct StatePublisher {
    clock: Clock,
    confirmer: Option<LeadershipConfirmation>,
    published: Arc<PublishedState>,
    instance: InstanceName,
    log: Logger,
    progress: Mutex<SubscriberProgress>,
    state: SharedReplicatedState,
}

/// What subscribers have reached.
#[derive(Debug)]
struct SubscriberProgress {
    /// Accepted revisions that are not known to be in force, with the time of acceptance.
    pending: Vec<AcceptedRevision>,
    publisher: Publisher,
    /// Whether the last confirmation succeeded.
    leads: bool,
    /// Last term in which this instance led.
    term: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct AcceptedRevision {
    at_ms: u64,
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
            confirmer: control.map(LeadershipConfirmation::new),
            published: Arc::clone(published),
            instance: instance.clone(),
            log: log.clone(),
            progress: Mutex::new(SubscriberProgress {
                pending: Vec::new(),
                leads: false,
                publisher: Publisher::new(clock.now_ms(), 0),
                term: None,
            }),
            state: state.clone(),
        }
    }

    /// Heartbeats of the instances that subscribe here.
    pub(crate) fn heartbeats(&self) -> Vec<Heartbeat> {
        let now_ms = self.clock.now_ms();
        let mut progress = self.lock();
        progress.publisher.expire(now_ms);
        progress.publisher.heartbeats(now_ms)
    }

    /// Whether the roster holds every live instance.
    pub(crate) fn is_settled(&self) -> bool {
        self.lock().publisher.knows_all_members(self.clock.now_ms())
    }

    /// Takes the leader's part if this instance leads; says whether it does.
    ///
    /// Copies the replicated state into what the instance holds, counts the instance itself as a
    /// subscriber, and renews its lease.
    pub(crate) async fn lead(&self, own: &Heartbeat) -> bool {
        let sent_ms = self.clock.now_ms();
        let Some(confirmed) = self.confirmed_term().await else {
            self.step_down();
            return false;
        };
        // Leases of an earlier leader end at most one lease after the confirmation.
        let now_ms = self.clock.now_ms();
        self.begin_term(now_ms, confirmed);
        self.copy_replicated_state();
        let mut progress = self.lock();
        progress.publisher.record_heartbeat(now_ms, own);
        for instance in progress.publisher.expire(now_ms) {
            warn!(self.log, "instance lost"; "instance" => %instance);
        }
        let in_force = progress.in_force(now_ms);
        let mut published = self.published.lock();
        let changed = Self::publish_roster(&mut published, &progress)
            || published.in_force_revision < in_force;
        published.in_force_revision = published.in_force_revision.max(in_force);
        published.leader = Some(self.instance.clone());
        published.lease.renew(sent_ms, CONFIGURATION_LEASE_MS);
        drop(published);
        drop(progress);
        if changed {
            self.published.notify();
        }
        true
    }

    /// Answers a subscriber when there is news for it, or after a heartbeat interval.
    pub(crate) async fn sync(&self, request: &SyncRequest) -> SyncAnswer {
        let received_ms = self.clock.now_ms();
        let heard = self.record_heartbeats(request);
        // A publisher without a lease may know only of runs that are long gone.
        if !self.may_publish() {
            return SyncAnswer::NotPublisher {
                leader: self.published.lock().leader.clone(),
            };
        }
        if heard == HeartbeatResult::Superseded {
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
        // Without news the answer is a heartbeat.
        let _ = timeout(interval, waiting).await;
        self.answer(request, received_ms).await
    }

    /// Shards that have no owner yet.
    pub(crate) fn unassigned_shards(&self) -> Vec<Shard> {
        self.published.lock().unassigned_shards.clone()
    }

    async fn answer(&self, request: &SyncRequest, received_ms: u64) -> SyncAnswer {
        let leads = self.confirmed_term().await.is_some();
        if leads {
            self.copy_replicated_state();
        }
        let published = self.published.lock();
        let (Some(leader), Some(lease_ms)) = (
            published.leader.clone(),
            self.lease_ms(&published, leads, received_ms),
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

    /// Starts the publisher of a term.
    ///
    /// A leader that is confirmed again in the same term was the only one all along, so it goes on
    /// with what it knows; versions of the roster must not start again within a term.
    fn begin_term(&self, now_ms: u64, term: u64) {
        let mut progress = self.lock();
        progress.leads = true;
        if progress.term == Some(term) {
            return;
        }
        info!(self.log, "leading"; "term" => term);
        progress.term = Some(term);
        progress.publisher = Publisher::new(now_ms, term);
        progress.pending = vec![AcceptedRevision {
            at_ms: now_ms,
            revision: LogIndex(self.state.lock().table.revision().0),
        }];
    }

    /// Term in which a quorum confirms, after the call began, that this instance leads.
    async fn confirmed_term(&self) -> Option<u64> {
        self.confirmer.as_ref()?.confirmed_term().await
    }

    fn has_update(&self, request: &SyncRequest) -> bool {
        let published = self.published.lock();
        published.table_view.revision().0 > request.table_revision.0
            || published.assignments.applied() > request.assignments_index
            || published
                .roster
                .update_since(request.roster_epoch, request.roster_version)
                .is_some()
    }

    /// Takes the heartbeats of a request, the subscriber's own first.
    fn record_heartbeats(&self, request: &SyncRequest) -> HeartbeatResult {
        let Some((own, forwarded)) = request.heartbeats.split_first() else {
            return HeartbeatResult::Accepted;
        };
        let now_ms = self.clock.now_ms();
        let mut progress = self.lock();
        for heartbeat in forwarded {
            progress
                .publisher
                .record_forwarded_heartbeat(now_ms, heartbeat);
        }
        // The roster of the leader tells a relay of runs that it has not heard itself.
        let elsewhere = !progress.leads && self.published.lock().roster.supersedes(&own.member);
        if elsewhere {
            return HeartbeatResult::Superseded;
        }
        progress.publisher.record_heartbeat(now_ms, own)
    }

    fn lease_ms(&self, published: &PublishedData, leads: bool, received_ms: u64) -> Option<u64> {
        if leads {
            return Some(CONFIGURATION_LEASE_MS);
        }
        published
            .lease
            .relayed_lease_ms(self.clock.now_ms(), received_ms)
    }

    fn lock(&self) -> MutexGuard<'_, SubscriberProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an answer may carry a lease, as far as can be told without asking the quorum.
    fn may_publish(&self) -> bool {
        let now_ms = self.clock.now_ms();
        self.confirmer
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
        let roster = progress.publisher.roster();
        match roster.update_since(published.roster.epoch(), published.roster.version()) {
            Some(update) => {
                published.roster.apply(&update);
                true
            }
            None => false,
        }
    }

    /// Copies what is new in the replicated state.
    fn copy_replicated_state(&self) {
        let mut progress = self.lock();
        let state = self.state.lock();
        let mut published = self.published.lock();
        // Read under the locks: no answer without the news is composed after this moment.
        let now_ms = self.clock.now_ms();
        let mut changed = false;
        if state.table.revision() > published.table_view.revision() {
            let publication = state
                .table
                .publication_since(published.table_view.revision());
            published.table_view.apply(publication);
            progress.pending.push(AcceptedRevision {
                at_ms: now_ms,
                revision: LogIndex(published.table_view.revision().0),
            });
            changed = true;
        }
        if let Some(update) = state
            .assignments
            .update_since(published.assignments.applied())
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

    fn step_down(&self) {
        let mut progress = self.lock();
        if progress.leads {
            info!(self.log, "no longer leading");
            progress.leads = false;
        }
    }
}

impl SubscriberProgress {
    /// Greatest revision in force; forgets the ones up to it.
    fn in_force(&mut self, now_ms: u64) -> LogIndex {
        let publisher = &self.publisher;
        let reached = self
            .pending
            .iter()
            .filter(|accepted| publisher.is_in_force(now_ms, accepted.revision, accepted.at_ms))
            .map(|accepted| accepted.revision)
            .max()
            .unwrap_or_default();
        self.pending.retain(|accepted| accepted.revision > reached);
        reached
    }
}
