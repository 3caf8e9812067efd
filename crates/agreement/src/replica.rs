mod bootstrap;
mod effects;
mod election;
mod follower;
mod installation;
mod leader;
mod requests;

use std::sync::Arc;

use names::{InstanceName, LogIndex};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::clock::MonotonicClock;
use crate::log::Log;
use crate::progress::FollowerProgress;
use crate::role::RoleState;
use crate::validity::is_well_formed;
use crate::writes::PendingWrites;
use crate::{
    Entry, Envelope, FollowerStatus, HardState, Input, Member, Message, Output, RejectReason,
    ReplicaRole, ReplicaStatus, Settings, Snapshot, Term,
};
use bootstrap::ReceivedHello;
use installation::SnapshotInstallation;

/// Durable state from which a replica is opened.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// Entries after the snapshot, with consecutive indexes.
    pub entries: Vec<Entry>,
    /// Latest hard state.
    pub hard_state: HardState,
    /// Latest snapshot; the host has already restored the state machine from it.
    pub snapshot: Option<Snapshot>,
}

/// Effects of the input that is being handled, before they become a write and outputs.
#[derive(Debug, Default)]
struct Effects {
    deferred_messages: Vec<Envelope>,
    discards_log: bool,
    first_new_index: Option<LogIndex>,
    is_hard_state_changed: bool,
    outputs: Vec<Output>,
    restores_state_machine: bool,
    self_vote_term: Option<Term>,
    snapshot: Option<Arc<Snapshot>>,
}

/// Divides the election timeout to get the shortest first timeout after a start: two round trips
/// between regions at the shortest election timeout in use.
const FIRST_ELECTION_TIMEOUT_DIVISOR: u64 = 6;

/// Raft replica of one group.
#[derive(Debug)]
pub struct Replica {
    applied_index: LogIndex,
    clock: MonotonicClock,
    commit_index: LogIndex,
    effects: Effects,
    election_deadline_ms: u64,
    hard_state: HardState,
    installation: Option<SnapshotInstallation>,
    /// Whether a replica that is not blank has sent a `Hello`.
    is_group_bootstrapped: bool,
    last_leader_message_ms: u64,
    leader: Option<Member>,
    log: Log,
    next_hello_ms: u64,
    random: Xoshiro256PlusPlus,
    /// Sorted by name.
    received_hellos: Vec<ReceivedHello>,
    role: RoleState,
    settings: Settings,
    writes: PendingWrites,
}

impl Replica {
    /// Opens a replica from its recovered state; `seed` seeds the election timeouts.
    ///
    /// # Panics
    ///
    /// Panics if the recovered state is inconsistent.
    #[must_use]
    pub fn open(settings: Settings, recovered: RecoveredState, now_ms: u64, seed: u64) -> Self {
        let log = Log::open(recovered.snapshot, recovered.entries);
        assert!(
            log.last_term() <= recovered.hard_state.term,
            "the log holds no term later than the hard state"
        );
        let mut replica = Self {
            applied_index: log.base_index(),
            clock: MonotonicClock::new(now_ms),
            commit_index: log.base_index(),
            effects: Effects::default(),
            election_deadline_ms: 0,
            hard_state: recovered.hard_state,
            installation: None,
            is_group_bootstrapped: false,
            last_leader_message_ms: 0,
            leader: None,
            log,
            next_hello_ms: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            received_hellos: Vec::new(),
            role: RoleState::Follower,
            settings,
            writes: PendingWrites::default(),
        };
        replica.set_first_election_deadline();
        replica
    }

    /// Handles an input at a monotonic time; appends the actions for the host to `outputs`.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the protocol is violated, such as two leaders in one term.
    pub fn handle(&mut self, now_ms: u64, input: Input, outputs: &mut Vec<Output>) {
        self.clock.advance(now_ms);
        match input {
            Input::ChangeMembership {
                change,
                request,
                timestamp_ms,
            } => self.on_membership_change(timestamp_ms, &change, request),
            Input::Compact { data, index } => self.on_compact(data, index),
            Input::Message(envelope) => self.on_envelope(envelope),
            Input::Propose {
                proposals,
                timestamp_ms,
            } => self.on_propose(timestamp_ms, proposals),
            Input::ReadIndex { request } => self.on_read_index(request),
            Input::Tick => self.on_tick(),
            Input::TransferLeadership { request, to } => self.on_transfer_leadership(request, to),
            Input::WriteDurable(durable) => self.on_write_durable(&durable),
        }
        self.advance_leader();
        self.issue_write();
        self.apply_committed();
        outputs.append(&mut self.effects.outputs);
    }

    /// Leader of the term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<&InstanceName> {
        self.leader.as_ref().map(|leader| &leader.name)
    }

    /// Role of this replica.
    #[must_use]
    pub fn role(&self) -> ReplicaRole {
        match self.role {
            RoleState::Candidate { .. } | RoleState::PreCandidate { .. } => ReplicaRole::Candidate,
            RoleState::Follower => ReplicaRole::Follower,
            RoleState::Leader(_) => ReplicaRole::Leader,
        }
    }

    /// Current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// State of the replica and its view of the group.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let followers = match &self.role {
            RoleState::Leader(leader_state) => leader_state.followers.as_slice(),
            _ => &[],
        };
        let now_ms = self.clock.now_ms();
        ReplicaStatus {
            commit_index: self.commit_index,
            followers: followers
                .iter()
                .map(|follower| follower_status(follower, now_ms))
                .collect(),
            non_members: self.non_members(),
            last_index: self.log.last_index(),
            leader: self.leader().cloned(),
            member: self.settings.member.clone(),
            membership: self.log.membership().clone(),
            membership_committed: self.commit_index >= self.log.membership_index(),
            role: self.role(),
            term: self.hard_state.term,
        }
    }

    fn on_tick(&mut self) {
        if matches!(self.role, RoleState::Leader(_)) {
            self.on_leader_tick();
            return;
        }
        if self.clock.now_ms() < self.election_deadline_ms && !self.is_blank() {
            return;
        }
        // A voter can stand for election until its removal is committed: it may hold entries that
        // every electable voter must have.
        if self
            .log
            .may_be_voter(self.commit_index, &self.settings.member)
        {
            self.start_pre_vote();
        } else {
            self.announce_or_bootstrap();
        }
    }

    fn on_envelope(&mut self, envelope: Envelope) {
        if !self.is_addressed_to_this_replica(&envelope) || !is_well_formed(&envelope) {
            return;
        }
        if let Message::Hello(hello) = envelope.message {
            self.on_hello(envelope.from, &hello);
            return;
        }
        if envelope.term > self.hard_state.term && !envelope.message.has_unstarted_term() {
            self.adopt_term(&envelope);
        }
        if envelope.term < self.hard_state.term {
            self.reject_stale_term(&envelope);
            return;
        }
        self.on_message(envelope);
    }

    fn on_message(&mut self, envelope: Envelope) {
        let Envelope {
            from,
            message,
            term,
            ..
        } = envelope;
        match message {
            Message::AppendEntries(append) => self.on_append_entries(from, append),
            Message::AppendResponse(response) => self.on_append_response(&from, &response),
            Message::Hello(_) => unreachable!("handled before the term is checked"),
            Message::ForwardedHello(forwarded) => self.on_forwarded_hello(forwarded),
            Message::SnapshotResponse(response) => self.on_snapshot_response(&from, &response),
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(&from, chunk),
            Message::TimeoutNow => self.on_timeout_now(&from),
            Message::VoteResponse(response) => self.on_vote_response(from, term, &response),
            Message::VoteRequest(request) => self.on_vote_request(&from, term, &request),
        }
    }

    fn is_addressed_to_this_replica(&self, envelope: &Envelope) -> bool {
        let member = &self.settings.member;
        envelope.group == self.settings.group
            && envelope.from.name != member.name
            && envelope.to == member.name
            && envelope
                .to_storage
                .is_none_or(|storage| storage == member.storage)
    }

    fn adopt_term(&mut self, envelope: &Envelope) {
        if let Message::VoteRequest(request) = &envelope.message
            && !request.is_leadership_transfer
            && self.has_active_leader()
        {
            return;
        }
        self.become_follower(envelope.term, None);
    }

    /// Rejects a message of an earlier term; the response carries the current term.
    fn reject_stale_term(&mut self, envelope: &Envelope) {
        let message = match &envelope.message {
            Message::AppendEntries(_) | Message::SnapshotChunk(_) => self.reject_append(),
            Message::VoteRequest(request) => reject_vote(request.pre_vote),
            _ => return,
        };
        self.send_when_durable(&envelope.from, message);
    }

    fn become_follower(&mut self, term: Term, leader: Option<Member>) {
        assert!(term >= self.hard_state.term, "terms never decrease");
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.effects.is_hard_state_changed = true;
        }
        let role = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(leader_state) = role {
            let reason = RejectReason::NotLeader {
                leader: leader.as_ref().map(|leader| leader.name.clone()),
            };
            for read in leader_state.pending_read_indexes {
                self.reject(read.request, reason.clone());
            }
        }
        self.leader = leader;
        self.reset_election_deadline();
    }

    /// Sets the deadline of a replica that was just opened to less than an election timeout.
    ///
    /// After all voters were killed and restarted there is no leader, so waiting a whole timeout
    /// would delay the election in vain. If there is a leader, the others reject the pre-vote.
    fn set_first_election_deadline(&mut self) {
        let timeout_ms = self.settings.election_timeout_ms;
        let shortest_ms = timeout_ms / FIRST_ELECTION_TIMEOUT_DIVISOR;
        let random_ms = self.random.random_range(shortest_ms..timeout_ms.max(1));
        self.election_deadline_ms = self.clock.now_ms() + random_ms;
    }

    fn reset_election_deadline(&mut self) {
        let timeout_ms = self.settings.election_timeout_ms;
        let random_ms = self.random.random_range(timeout_ms..2 * timeout_ms);
        self.election_deadline_ms = self.clock.now_ms() + random_ms;
    }

    fn is_blank(&self) -> bool {
        self.log.last_index() == LogIndex(0) && self.log.membership().is_empty()
    }

    fn envelope(&self, to: &Member, term: Term, message: Message) -> Envelope {
        Envelope {
            from: self.settings.member.clone(),
            group: self.settings.group,
            message,
            term,
            to: to.name.clone(),
            to_storage: Some(to.storage),
        }
    }

    /// Sends a message once every write so far and that of the current input are durable.
    fn send_when_durable(&mut self, to: &Member, message: Message) {
        let envelope = self.envelope(to, self.hard_state.term, message);
        self.effects.deferred_messages.push(envelope);
    }

    /// Sends a message that depends on no write.
    fn send_now(&mut self, to: &Member, term: Term, message: Message) {
        let envelope = self.envelope(to, term, message);
        self.effects.outputs.push(Output::Send(envelope));
    }
}

fn follower_status(follower: &FollowerProgress, now_ms: u64) -> FollowerStatus {
    FollowerStatus {
        in_flight_bytes: follower.in_flight_bytes(),
        last_response_age_ms: now_ms - follower.last_response_ms,
        match_index: follower.match_index,
        member: follower.member.clone(),
    }
}

fn reject_vote(pre_vote: bool) -> Message {
    Message::VoteResponse(crate::VoteResponse {
        granted: false,
        pre_vote,
    })
}
