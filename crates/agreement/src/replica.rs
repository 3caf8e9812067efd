mod delivery;
mod election;
mod following;
mod founding;
mod installation;
mod leading;
mod requests;

use std::sync::Arc;

use names::{InstanceName, LogIndex};
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

use crate::clock::Clock;
use crate::log::Log;
use crate::progress::Progress;
use crate::role::Role;
use crate::validity::is_well_formed;
use crate::writes::PendingWrites;
use crate::{
    Entry, Envelope, FollowerStatus, HardState, Input, Member, Message, Output, Refusal,
    ReplicaStatus, RoleName, Settings, Snapshot, Term,
};
use founding::KnownReplica;
use installation::Installation;

/// Durable state that a replica starts from.
#[derive(Debug, Default)]
pub struct Recovered {
    /// Entries after the snapshot, consecutive.
    pub entries: Vec<Entry>,
    /// Latest hard state.
    pub hard_state: HardState,
    /// Latest snapshot; the host has given it to the state machine already.
    pub snapshot: Option<Snapshot>,
}

/// Effects of the input that is being handled.
#[derive(Debug, Default)]
struct Draft {
    discards_log: bool,
    first_entry: Option<LogIndex>,
    hard_state: bool,
    held: Vec<Envelope>,
    outputs: Vec<Output>,
    own_vote: Option<Term>,
    restore: bool,
    snapshot: Option<Arc<Snapshot>>,
}

/// Part of the election timeout that a replica waits at least after it was opened, one in so many:
/// two round trips between regions at the shortest timeout in use.
const FIRST_TIMEOUT_DIVISOR: u64 = 6;

/// One replica of one group.
#[derive(Debug)]
pub struct Replica {
    clock: Clock,
    commit: LogIndex,
    delivered: LogIndex,
    draft: Draft,
    election_deadline_ms: u64,
    hard_state: HardState,
    installation: Option<Installation>,
    introductions: Vec<KnownReplica>,
    last_leader_ms: u64,
    leader: Option<Member>,
    log: Log,
    met_founded: bool,
    next_hello_ms: u64,
    random: Xoshiro256PlusPlus,
    role: Role,
    settings: Settings,
    writes: PendingWrites,
}

impl Replica {
    /// Opens a replica on its recovered state.
    ///
    /// # Panics
    ///
    /// Panics if the recovered state contradicts itself.
    #[must_use]
    pub fn open(settings: Settings, recovered: Recovered, now_ms: u64, seed: u64) -> Self {
        let log = Log::open(recovered.snapshot, recovered.entries);
        assert!(
            log.last_term() <= recovered.hard_state.term,
            "the log holds no term later than the hard state"
        );
        let mut replica = Self {
            clock: Clock::new(now_ms),
            commit: log.base_index(),
            delivered: log.base_index(),
            draft: Draft::default(),
            election_deadline_ms: 0,
            hard_state: recovered.hard_state,
            installation: None,
            introductions: Vec::new(),
            last_leader_ms: 0,
            leader: None,
            log,
            met_founded: false,
            next_hello_ms: 0,
            random: Xoshiro256PlusPlus::seed_from_u64(seed),
            role: Role::Follower,
            settings,
            writes: PendingWrites::default(),
        };
        replica.draw_first_deadline();
        replica
    }

    /// Reacts to an input at a time of a monotonic clock; appends what the host has to do.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the protocol is broken, such as two leaders in one term.
    pub fn handle(&mut self, now_ms: u64, input: Input, outputs: &mut Vec<Output>) {
        self.clock.advance(now_ms);
        match input {
            Input::Change {
                at_ms,
                change,
                request,
            } => self.on_change(at_ms, &change, request),
            Input::Compact { data, index } => self.on_compact(data, index),
            Input::Confirm { request } => self.on_confirm(request),
            Input::HandOver { request, to } => self.on_hand_over(request, to),
            Input::Message(envelope) => self.on_envelope(envelope),
            Input::Propose { at_ms, proposals } => self.on_propose(at_ms, proposals),
            Input::Synced(synced) => self.on_synced(&synced),
            Input::Tick => self.on_tick(),
        }
        self.lead();
        self.flush();
        self.deliver();
        outputs.append(&mut self.draft.outputs);
    }

    /// Leader of the term, where known.
    #[must_use]
    pub fn leader(&self) -> Option<&InstanceName> {
        self.leader.as_ref().map(|leader| &leader.name)
    }

    /// Role of this replica.
    #[must_use]
    pub fn role(&self) -> RoleName {
        match self.role {
            Role::Candidate { .. } | Role::PreCandidate { .. } => RoleName::Candidate,
            Role::Follower => RoleName::Follower,
            Role::Leader(_) => RoleName::Leader,
        }
    }

    /// Current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// What the replica knows of itself and its group.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let followers = match &self.role {
            Role::Leader(leadership) => leadership.followers.as_slice(),
            _ => &[],
        };
        let now_ms = self.clock.now_ms();
        ReplicaStatus {
            commit: self.commit,
            followers: followers
                .iter()
                .map(|follower| follower_status(follower, now_ms))
                .collect(),
            non_members: self.non_members(),
            last_index: self.log.last_index(),
            leader: self.leader().cloned(),
            member: self.settings.member.clone(),
            membership: self.log.membership().clone(),
            membership_committed: self.commit >= self.log.membership_index(),
            role: self.role(),
            term: self.hard_state.term,
        }
    }

    fn on_tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.on_leader_tick();
            return;
        }
        if self.clock.now_ms() < self.election_deadline_ms && !self.is_blank() {
            return;
        }
        // A voter stands for election until its removal is committed: it may hold entries that no
        // other voter may be elected without.
        if self.log.may_be_voter(self.commit, &self.settings.member) {
            self.start_pre_vote();
        } else {
            self.introduce();
        }
    }

    fn on_envelope(&mut self, envelope: Envelope) {
        if !self.is_for_this(&envelope) || !is_well_formed(&envelope) {
            return;
        }
        if let Message::Hello(hello) = envelope.message {
            self.on_hello(envelope.from, &hello);
            return;
        }
        if envelope.term > self.hard_state.term && !envelope.message.is_pre_vote() {
            self.adopt_term(&envelope);
        }
        if envelope.term < self.hard_state.term {
            self.answer_stale(&envelope);
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
            Message::Append(append) => self.on_append(from, append),
            Message::AppendAnswer(answer) => self.on_append_answer(&from, &answer),
            Message::Hello(_) => unreachable!("handled before the term is looked at"),
            Message::Introduction(introduction) => self.on_introduction(introduction),
            Message::SnapshotAnswer(answer) => self.on_snapshot_answer(&from, &answer),
            Message::SnapshotChunk(chunk) => self.on_snapshot_chunk(&from, chunk),
            Message::StartElection => self.on_start_election(&from),
            Message::VoteAnswer(answer) => self.on_vote_answer(from, term, &answer),
            Message::VoteRequest(request) => self.on_vote_request(&from, term, &request),
        }
    }

    fn is_for_this(&self, envelope: &Envelope) -> bool {
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
            && !request.forced
            && self.has_live_leader()
        {
            return;
        }
        self.become_follower(envelope.term, None);
    }

    /// Tells a sender of an old term the current one.
    fn answer_stale(&mut self, envelope: &Envelope) {
        let message = match &envelope.message {
            Message::Append(_) | Message::SnapshotChunk(_) => self.refuse_append(),
            Message::VoteRequest(request) => refuse_vote(request.pre_vote),
            _ => return,
        };
        self.hold(&envelope.from, message);
    }

    fn become_follower(&mut self, term: Term, leader: Option<Member>) {
        assert!(term >= self.hard_state.term, "terms never decrease");
        if term > self.hard_state.term {
            self.hard_state = HardState { term, vote: None };
            self.draft.hard_state = true;
        }
        let role = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = role {
            let refusal = Refusal::NotLeader {
                leader: leader.as_ref().map(|leader| leader.name.clone()),
            };
            for confirmation in leadership.confirmations {
                self.refuse(confirmation.request, refusal.clone());
            }
        }
        self.leader = leader;
        self.reset_election_deadline();
    }

    /// Time until a replica that has just been opened asks whether there is a leader.
    ///
    /// Pattern: all voters are killed at once and come back. Nobody leads then, and waiting a whole
    /// timeout would be in vain; where somebody does, the others refuse the pre-vote.
    fn draw_first_deadline(&mut self) {
        let timeout_ms = self.settings.election_timeout_ms;
        let shortest_ms = timeout_ms / FIRST_TIMEOUT_DIVISOR;
        let drawn_ms = self.random.random_range(shortest_ms..timeout_ms.max(1));
        self.election_deadline_ms = self.clock.now_ms() + drawn_ms;
    }

    fn reset_election_deadline(&mut self) {
        let timeout_ms = self.settings.election_timeout_ms;
        let drawn_ms = self.random.random_range(timeout_ms..2 * timeout_ms);
        self.election_deadline_ms = self.clock.now_ms() + drawn_ms;
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

    /// Sends a message once everything up to now is durable.
    fn hold(&mut self, to: &Member, message: Message) {
        let envelope = self.envelope(to, self.hard_state.term, message);
        self.draft.held.push(envelope);
    }

    /// Sends a message that depends on nothing durable.
    fn send_now(&mut self, to: &Member, term: Term, message: Message) {
        let envelope = self.envelope(to, term, message);
        self.draft.outputs.push(Output::Send(envelope));
    }
}

fn follower_status(follower: &Progress, now_ms: u64) -> FollowerStatus {
    FollowerStatus {
        in_flight_bytes: follower.in_flight_bytes(),
        last_response_age_ms: now_ms - follower.last_active_ms,
        matched: follower.matched,
        member: follower.member.clone(),
    }
}

fn refuse_vote(pre_vote: bool) -> Message {
    Message::VoteAnswer(crate::VoteAnswer {
        granted: false,
        pre_vote,
    })
}
