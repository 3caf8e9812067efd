use names::{Epoch, InstanceName, LogIndex};
use protocol::{SyncAnswer, SyncRequest, SyncUpdate};
use session::{
    AssignCommand, AssignmentAges, Assignments, CONFIGURATION_LEASE_MS, ConfigurationLease,
    Heartbeat, HeartbeatResult, Member, MemberState, Predecessor, Roster, Shard, SubscriberTracker,
    UPSTREAM_TIMEOUT_MS, UpstreamSelector, plan_reassignments, plan_unassigned,
};
use table::{Delta, Publication, Revision, VersionedItem, View};

use super::{Committed, Message, OutgoingMessage};

const ANSWER_DELAY_MS: u64 = 10;
const LEAD_INTERVAL_MS: u64 = 50;
const RETRY_MS: u64 = 50;
const SUPERSEDED_RETRY_MS: u64 = 500;

/// Published state as applied by one instance.
#[derive(Debug, Default)]
pub struct PublishedState {
    pub assignments: Assignments,
    pub changes: Vec<VersionedItem>,
    pub in_force_revision: LogIndex,
    pub leader: Option<InstanceName>,
    pub lease: ConfigurationLease,
    pub roster: Roster,
    pub table_view: View,
    pub unowned_shards: Vec<Shard>,
}

#[derive(Debug)]
struct PendingRequest {
    number: u64,
    publisher: InstanceName,
    sent_ms: u64,
}

#[derive(Debug)]
struct OwnedShard {
    epoch: Epoch,
    grants_from_ms: u64,
    shard: Shard,
}

#[derive(Debug)]
struct OpenRequest {
    answer_ms: u64,
    from: usize,
    has_changes: bool,
    number: u64,
    received_ms: u64,
    request: SyncRequest,
}

#[derive(Debug)]
struct AcceptedRevision {
    at_ms: u64,
    revision: LogIndex,
}

/// One process of an instance; its clock is `offset_ms` ahead of the fleet's.
#[derive(Debug)]
pub struct Node {
    pub alive: bool,
    pub index: usize,
    pub member: Member,
    /// Fleet time at which the process got its first lease.
    pub serving_ms: Option<u64>,
    pub stalled_until_ms: u64,
    pub state: PublishedState,
    pub wake_ms: Option<u64>,
    ages: AssignmentAges,
    leads: bool,
    next_request_ms: u64,
    offset_ms: u64,
    open_requests: Vec<OpenRequest>,
    owned: Vec<OwnedShard>,
    pending_request: Option<PendingRequest>,
    pending_revisions: Vec<AcceptedRevision>,
    request_number: u64,
    term: Option<u64>,
    tracker: SubscriberTracker,
    upstream: UpstreamSelector,
}

impl Node {
    pub fn new(node_index: usize, member: Member, offset_ms: u64) -> Self {
        Self {
            ages: AssignmentAges::default(),
            alive: true,
            next_request_ms: 0,
            pending_request: None,
            state: PublishedState::default(),
            leads: false,
            // Answers to an earlier process with the same node index are ignored.
            request_number: member.start_nonce,
            offset_ms,
            owned: Vec::new(),
            pending_revisions: Vec::new(),
            index: node_index,
            tracker: SubscriberTracker::new(offset_ms, 0),
            serving_ms: None,
            stalled_until_ms: 0,
            term: None,
            upstream: UpstreamSelector::new(&member.name),
            open_requests: Vec::new(),
            wake_ms: None,
            member,
        }
    }

    /// Whether the process acts as owner of a shard.
    pub fn acts_as_owner(&self, fleet_ms: u64, shard: &Shard) -> bool {
        let now_ms = fleet_ms + self.offset_ms;
        let assignment = self.state.assignments.get(shard);
        let owned = self.owned.iter().any(|owned| {
            owned.shard == *shard
                && owned.grants_from_ms <= now_ms
                && assignment.is_some_and(|assignment| assignment.epoch == owned.epoch)
        });
        owned && self.admits_work(fleet_ms) && self.member.state == MemberState::Serving
    }

    /// Whether the process admits work.
    pub fn admits_work(&self, fleet_ms: u64) -> bool {
        self.alive && self.state.lease.is_live(fleet_ms + self.offset_ms)
    }

    pub fn table_revision(&self) -> u64 {
        self.state.table_view.revision().0
    }

    /// Answers the open requests that are due.
    pub fn answer_due_requests(
        &mut self,
        fleet_ms: u64,
        committed: &Committed,
    ) -> Vec<OutgoingMessage> {
        let now_ms = fleet_ms + self.offset_ms;
        let mut open_requests = std::mem::take(&mut self.open_requests);
        for open_request in &mut open_requests {
            if !open_request.has_changes && self.has_changes(&open_request.request) {
                open_request.has_changes = true;
                open_request.answer_ms = open_request.answer_ms.min(now_ms + ANSWER_DELAY_MS);
            }
        }
        let due = open_requests.extract_if(.., |open_request| open_request.answer_ms <= now_ms);
        let due: Vec<OpenRequest> = due.collect();
        self.open_requests = open_requests;
        due.into_iter()
            .map(|open_request| OutgoingMessage {
                message: self.answer_request(now_ms, &open_request, committed),
                to: open_request.from,
            })
            .collect()
    }

    /// Handles a publisher's answer.
    pub fn handle_answer(&mut self, fleet_ms: u64, number: u64, answer: SyncAnswer) {
        let now_ms = fleet_ms + self.offset_ms;
        let Some(pending_request) = self
            .pending_request
            .take_if(|pending_request| pending_request.number == number)
        else {
            return;
        };
        match answer {
            SyncAnswer::NotPublisher { leader } => {
                self.upstream
                    .record_failure(now_ms, &pending_request.publisher);
                self.next_request_ms = now_ms + RETRY_MS;
                if leader.is_some() && self.state.leader != leader {
                    self.upstream.clear_failures();
                    self.state.leader = leader;
                }
            }
            SyncAnswer::Superseded => {
                self.state.lease.revoke();
                self.next_request_ms = now_ms + SUPERSEDED_RETRY_MS;
            }
            SyncAnswer::Update(update) => {
                self.upstream.record_answer(&pending_request.publisher);
                self.apply_update(fleet_ms, pending_request.sent_ms, update);
            }
        }
    }

    /// Acts as the leader; returns the names that left the roster.
    pub fn lead(&mut self, fleet_ms: u64, committed: &Committed) -> Vec<InstanceName> {
        let now_ms = fleet_ms + self.offset_ms;
        self.pending_request = None;
        if self.term != Some(committed.term) {
            self.term = Some(committed.term);
            self.tracker = SubscriberTracker::new(now_ms, committed.term);
            self.pending_revisions = vec![AcceptedRevision {
                at_ms: now_ms,
                revision: LogIndex(committed.table_revision),
            }];
        }
        self.leads = true;
        let own = self.heartbeat();
        self.apply_committed(now_ms, committed);
        self.tracker.record_heartbeat(now_ms, &own);
        let removed = self.tracker.expire(now_ms);
        let in_force_revision = self.remove_in_force_revisions(now_ms);
        let state = &mut self.state;
        let roster = self.tracker.roster();
        if let Some(update) = roster.update_since(state.roster.epoch(), state.roster.version()) {
            state.roster.apply(&update);
        }
        state.in_force_revision = state.in_force_revision.max(in_force_revision);
        state.leader = Some(self.member.name.clone());
        state.lease.renew(now_ms, CONFIGURATION_LEASE_MS);
        self.record_ownership(now_ms);
        self.next_request_ms = now_ms + LEAD_INTERVAL_MS;
        removed
    }

    pub fn next_wake_ms(&self, fleet_ms: u64) -> u64 {
        let now_ms = fleet_ms + self.offset_ms;
        let own_ms = match &self.pending_request {
            Some(pending_request) => pending_request.sent_ms + UPSTREAM_TIMEOUT_MS,
            None => self.next_request_ms,
        };
        let answers = self
            .open_requests
            .iter()
            .map(|open_request| open_request.answer_ms);
        let next_ms = answers.chain([own_ms]).min().unwrap_or(own_ms);
        next_ms.max(now_ms + 1) - self.offset_ms
    }

    /// Assignments that the leader proposes.
    pub fn plan(&mut self, fleet_ms: u64) -> Vec<AssignCommand> {
        let now_ms = fleet_ms + self.offset_ms;
        self.ages
            .observe(now_ms, self.state.assignments.applied_index());
        let state = &self.state;
        let mut commands =
            plan_unassigned(&state.roster, &state.assignments, &state.unowned_shards);
        if self.tracker.knows_all_members(now_ms) {
            let aged = self.ages.aged_epoch();
            commands.extend(plan_reassignments(&state.roster, &state.assignments, aged));
        }
        commands
    }

    /// Handles a subscriber's request.
    pub fn handle_request(
        &mut self,
        fleet_ms: u64,
        from: usize,
        number: u64,
        request: SyncRequest,
        leads: bool,
    ) {
        let now_ms = fleet_ms + self.offset_ms;
        let (own, forwarded) = request.heartbeats.split_first().expect("a heartbeat");
        for heartbeat in forwarded {
            self.tracker.record_forwarded_heartbeat(now_ms, heartbeat);
        }
        let is_superseded_elsewhere = !self.leads && self.state.roster.supersedes(&own.member);
        let is_superseded = is_superseded_elsewhere
            || self.tracker.record_heartbeat(now_ms, own) == HeartbeatResult::Superseded;
        let may_publish = leads || self.state.lease.relayed_lease_ms(now_ms, now_ms).is_some();
        let answers_at_once = is_superseded || !may_publish;
        self.request_owners(&request.unowned_shards);
        self.open_requests.push(OpenRequest {
            answer_ms: if answers_at_once {
                now_ms
            } else {
                now_ms + request.wait_ms
            },
            from,
            has_changes: answers_at_once,
            number,
            received_ms: now_ms,
            request,
        });
    }

    /// Sends a request to a publisher unless one is pending.
    pub fn subscribe(
        &mut self,
        fleet_ms: u64,
        voters: &[InstanceName],
    ) -> Option<(InstanceName, Message)> {
        let now_ms = fleet_ms + self.offset_ms;
        self.leads = false;
        if let Some(pending_request) = &self.pending_request {
            if now_ms < pending_request.sent_ms + UPSTREAM_TIMEOUT_MS {
                return None;
            }
            self.upstream
                .record_failure(now_ms, &pending_request.publisher);
            self.pending_request = None;
            self.next_request_ms = now_ms + RETRY_MS;
        }
        if now_ms < self.next_request_ms {
            return None;
        }
        let state = &self.state;
        let leader = state.leader.as_ref();
        let Some(publisher) = self.upstream.choose(now_ms, &state.roster, voters, leader) else {
            self.upstream.clear_failures();
            self.next_request_ms = now_ms + RETRY_MS;
            return None;
        };
        self.request_number = self.request_number.wrapping_add(1);
        self.pending_request = Some(PendingRequest {
            number: self.request_number,
            publisher: publisher.clone(),
            sent_ms: now_ms,
        });
        let request = Box::new(self.request(now_ms));
        Some((
            publisher,
            Message::Request(self.index, self.request_number, request),
        ))
    }

    /// Requests owners for shards.
    pub fn request_owners(&mut self, shards: &[Shard]) {
        let state = &mut self.state;
        state.unowned_shards.extend_from_slice(shards);
        state.unowned_shards.sort();
        state.unowned_shards.dedup();
        state
            .unowned_shards
            .retain(|shard| state.assignments.get(shard).is_none());
    }

    fn answer_request(
        &mut self,
        now_ms: u64,
        open_request: &OpenRequest,
        committed: &Committed,
    ) -> Message {
        let request = &open_request.request;
        let leads = self.leads && self.term == Some(committed.term);
        if leads {
            self.apply_committed(now_ms, committed);
        }
        let own = &request.heartbeats[0].member;
        let is_superseded =
            self.tracker.roster().supersedes(own) || (!leads && self.state.roster.supersedes(own));
        let state = &self.state;
        let lease_ms = if leads {
            Some(CONFIGURATION_LEASE_MS)
        } else {
            state
                .lease
                .relayed_lease_ms(now_ms, open_request.received_ms)
        };
        let answer = match (lease_ms, state.leader.clone()) {
            // A publisher without a lease may know only processes that ended long ago.
            (Some(_), _) if is_superseded => SyncAnswer::Superseded,
            (Some(lease_ms), Some(leader)) => SyncAnswer::Update(SyncUpdate {
                assignments: state.assignments.update_since(request.assignments_index),
                in_force_revision: state.in_force_revision,
                leader,
                lease_ms,
                roster: state
                    .roster
                    .update_since(request.roster_epoch, request.roster_version),
                table: self.publication(request.table_revision),
            }),
            (_, leader) => SyncAnswer::NotPublisher { leader },
        };
        Message::Answer(open_request.number, Box::new(answer))
    }

    fn has_changes(&self, request: &SyncRequest) -> bool {
        let state = &self.state;
        state.table_view.revision().0 > request.table_revision.0
            || state.assignments.applied_index() > request.assignments_index
            || state
                .roster
                .update_since(request.roster_epoch, request.roster_version)
                .is_some()
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            age_ms: 0,
            applied_revision: LogIndex(self.table_revision()),
            member: self.member.clone(),
        }
    }

    fn record_ownership(&mut self, now_ms: u64) {
        let member = &self.member;
        for assignment in self.state.assignments.iter().filter(|assignment| {
            assignment.owner == member.name && assignment.incarnation == member.incarnation
        }) {
            let known = |owned: &OwnedShard| owned.epoch == assignment.epoch;
            if self.owned.iter().any(known) {
                continue;
            }
            let wait_ms = match assignment.predecessor {
                Predecessor::Lapsed | Predecessor::None => 0,
                Predecessor::Live => CONFIGURATION_LEASE_MS,
            };
            self.owned.push(OwnedShard {
                epoch: assignment.epoch,
                grants_from_ms: now_ms + wait_ms,
                shard: assignment.shard.clone(),
            });
        }
    }

    fn publication(&self, from: LogIndex) -> Option<Publication> {
        let to = self.state.table_view.revision();
        if from.0 >= to.0 {
            return None;
        }
        let changes = &self.state.changes;
        let first = changes.partition_point(|change| change.revision.0 <= from.0);
        Some(Publication::Delta(Delta {
            changes: changes[first..].to_vec(),
            from: Revision(from.0),
            to,
        }))
    }

    fn apply_committed(&mut self, now_ms: u64, committed: &Committed) {
        let state = &mut self.state;
        if committed.table_revision > state.table_view.revision().0 {
            let first = state.changes.len().min(committed.changes.len());
            let changes = committed.changes[first..].to_vec();
            state.changes.extend_from_slice(&changes);
            state.table_view.apply(Publication::Delta(Delta {
                changes,
                from: state.table_view.revision(),
                to: Revision(committed.table_revision),
            }));
            self.pending_revisions.push(AcceptedRevision {
                at_ms: now_ms,
                revision: LogIndex(committed.table_revision),
            });
        }
        if let Some(update) = committed
            .assignments
            .update_since(state.assignments.applied_index())
        {
            state.assignments.merge(&update);
        }
        let assignments = &state.assignments;
        state
            .unowned_shards
            .retain(|shard| assignments.get(shard).is_none());
    }

    fn remove_in_force_revisions(&mut self, now_ms: u64) -> LogIndex {
        let tracker = &self.tracker;
        let is_in_force = |accepted: &&AcceptedRevision| {
            tracker.is_in_force(now_ms, accepted.revision, accepted.at_ms)
        };
        let in_force_revision = self.pending_revisions.iter().filter(is_in_force);
        let in_force_revision = in_force_revision.map(|accepted| accepted.revision).max();
        let in_force_revision = in_force_revision.unwrap_or_default();
        self.pending_revisions
            .retain(|accepted| accepted.revision > in_force_revision);
        in_force_revision
    }

    fn request(&mut self, now_ms: u64) -> SyncRequest {
        self.tracker.expire(now_ms);
        let mut heartbeats = self.tracker.heartbeats(now_ms);
        heartbeats.retain(|heartbeat| heartbeat.member.name != self.member.name);
        heartbeats.insert(0, self.heartbeat());
        let state = &self.state;
        SyncRequest {
            assignments_index: state.assignments.applied_index(),
            heartbeats,
            roster_epoch: state.roster.epoch(),
            roster_version: state.roster.version(),
            table_revision: LogIndex(self.table_revision()),
            wait_ms: self.upstream.wait_ms(),
            unowned_shards: state.unowned_shards.clone(),
        }
    }

    fn apply_update(&mut self, fleet_ms: u64, sent_ms: u64, update: SyncUpdate) {
        let before = (self.state.roster.epoch(), self.state.roster.version());
        let state = &mut self.state;
        if let Some(publication) = update.table {
            if let Publication::Delta(delta) = &publication {
                state.changes.extend_from_slice(&delta.changes);
            }
            state.table_view.apply(publication);
        }
        if let Some(assignments) = &update.assignments {
            state.assignments.merge(assignments);
        }
        if let Some(roster) = &update.roster {
            state.roster.apply(roster);
        }
        let after = (state.roster.epoch(), state.roster.version());
        assert!(after >= before, "a roster went back to an earlier version");
        state.in_force_revision = state.in_force_revision.max(update.in_force_revision);
        state.leader = Some(update.leader);
        state.lease.renew(sent_ms, update.lease_ms);
        let assignments = &state.assignments;
        state
            .unowned_shards
            .retain(|shard| assignments.get(shard).is_none());
        if state.lease.is_live(fleet_ms + self.offset_ms) {
            self.serving_ms.get_or_insert(fleet_ms);
        }
        self.record_ownership(fleet_ms + self.offset_ms);
    }
}
