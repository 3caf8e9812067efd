use names::{Epoch, InstanceName, LogIndex};
use protocol::{SyncAnswer, SyncRequest, SyncUpdate};
use session::{
    AssignCommand, AssignmentAges, Assignments, CONFIGURATION_LEASE_MS, ConfigurationLease,
    Heartbeat, HeartbeatResult, Member, MemberState, Predecessor, Publisher, Roster, Shard,
    UPSTREAM_TIMEOUT_MS, UpstreamSelector, plan_reassignments, plan_unassigned,
};
use table::{Delta, Publication, Revision, VersionedItem, View};

use super::{Committed, Message, Sent};

const COLLECT_MS: u64 = 10;
const LEAD_INTERVAL_MS: u64 = 50;
const RETRY_MS: u64 = 50;
const SUPERSEDED_RETRY_MS: u64 = 500;

/// What an instance holds of the published state.
#[derive(Debug, Default)]
pub struct Held {
    pub assignments: Assignments,
    pub changes: Vec<VersionedItem>,
    pub in_force: LogIndex,
    pub leader: Option<InstanceName>,
    pub lease: ConfigurationLease,
    pub roster: Roster,
    pub table: View,
    pub wanted: Vec<Shard>,
}

#[derive(Debug)]
struct Asked {
    number: u64,
    publisher: InstanceName,
    sent_ms: u64,
}

#[derive(Debug)]
struct Owned {
    epoch: Epoch,
    from_ms: u64,
    shard: Shard,
}

#[derive(Debug)]
struct Waiting {
    answer_ms: u64,
    from: usize,
    has_news: bool,
    number: u64,
    received_ms: u64,
    request: SyncRequest,
}

#[derive(Debug)]
struct Accepted {
    at_ms: u64,
    revision: LogIndex,
}

/// One run of an instance; its clock differs from the fleet's by `offset_ms`.
#[derive(Debug)]
pub struct Node {
    pub alive: bool,
    pub held: Held,
    pub member: Member,
    pub place: usize,
    /// When the run first held a lease.
    pub serving_ms: Option<u64>,
    pub stalled_until_ms: u64,
    pub wake_ms: Option<u64>,
    ages: AssignmentAges,
    asked: Option<Asked>,
    ask_after_ms: u64,
    number: u64,
    offset_ms: u64,
    owned: Vec<Owned>,
    pending: Vec<Accepted>,
    publisher: Publisher,
    term: Option<u64>,
    leads: bool,
    upstream: UpstreamSelector,
    waiting: Vec<Waiting>,
}

impl Node {
    pub fn new(place: usize, member: Member, offset_ms: u64) -> Self {
        Self {
            ages: AssignmentAges::default(),
            alive: true,
            ask_after_ms: 0,
            asked: None,
            held: Held::default(),
            leads: false,
            // Answers to another run at the same place are not taken.
            number: member.start_nonce,
            offset_ms,
            owned: Vec::new(),
            pending: Vec::new(),
            place,
            publisher: Publisher::new(offset_ms, 0),
            serving_ms: None,
            stalled_until_ms: 0,
            term: None,
            upstream: UpstreamSelector::new(&member.name),
            waiting: Vec::new(),
            wake_ms: None,
            member,
        }
    }

    /// Whether the run acts as owner of a shard.
    pub fn acts(&self, true_ms: u64, shard: &Shard) -> bool {
        let now_ms = true_ms + self.offset_ms;
        let assignment = self.held.assignments.get(shard);
        let owned = self.owned.iter().any(|owned| {
            owned.shard == *shard
                && owned.from_ms <= now_ms
                && assignment.is_some_and(|assignment| assignment.epoch == owned.epoch)
        });
        owned && self.admits(true_ms) && self.member.state == MemberState::Serving
    }

    /// Whether the run admits work.
    pub fn admits(&self, true_ms: u64) -> bool {
        self.alive && self.held.lease.is_live(true_ms + self.offset_ms)
    }

    pub fn table(&self) -> u64 {
        self.held.table.revision().0
    }

    /// Answers the waiting subscribers whose time has come.
    pub fn answer(&mut self, true_ms: u64, committed: &Committed) -> Vec<Sent> {
        let now_ms = true_ms + self.offset_ms;
        let mut waiting = std::mem::take(&mut self.waiting);
        for asker in &mut waiting {
            if !asker.has_news && self.has_news(&asker.request) {
                asker.has_news = true;
                asker.answer_ms = asker.answer_ms.min(now_ms + COLLECT_MS);
            }
        }
        let due = waiting.extract_if(.., |asker| asker.answer_ms <= now_ms);
        let due: Vec<Waiting> = due.collect();
        self.waiting = waiting;
        due.into_iter()
            .map(|asker| Sent {
                message: self.compose(now_ms, &asker, committed),
                to: asker.from,
            })
            .collect()
    }

    /// Takes a publisher's answer.
    pub fn answered(&mut self, true_ms: u64, number: u64, answer: SyncAnswer) {
        let now_ms = true_ms + self.offset_ms;
        let Some(asked) = self.asked.take_if(|asked| asked.number == number) else {
            return;
        };
        match answer {
            SyncAnswer::NotPublisher { leader } => {
                self.upstream.record_failure(now_ms, &asked.publisher);
                self.ask_after_ms = now_ms + RETRY_MS;
                if leader.is_some() && self.held.leader != leader {
                    self.upstream.forget_failures();
                    self.held.leader = leader;
                }
            }
            SyncAnswer::Superseded => {
                self.held.lease.revoke();
                self.ask_after_ms = now_ms + SUPERSEDED_RETRY_MS;
            }
            SyncAnswer::Update(update) => {
                self.upstream.record_answer(&asked.publisher);
                self.take(true_ms, asked.sent_ms, update);
            }
        }
    }

    /// Takes the leader's turn; returns the names that left the roster.
    pub fn lead(&mut self, true_ms: u64, committed: &Committed) -> Vec<InstanceName> {
        let now_ms = true_ms + self.offset_ms;
        self.asked = None;
        if self.term != Some(committed.term) {
            self.term = Some(committed.term);
            self.publisher = Publisher::new(now_ms, committed.term);
            self.pending = vec![Accepted {
                at_ms: now_ms,
                revision: LogIndex(committed.table),
            }];
        }
        self.leads = true;
        let own = self.heartbeat();
        self.pull(now_ms, committed);
        self.publisher.record_heartbeat(now_ms, &own);
        let lost = self.publisher.expire(now_ms);
        let reached = self.reached(now_ms);
        let held = &mut self.held;
        let roster = self.publisher.roster();
        if let Some(update) = roster.update_since(held.roster.epoch(), held.roster.version()) {
            held.roster.apply(&update);
        }
        held.in_force = held.in_force.max(reached);
        held.leader = Some(self.member.name.clone());
        held.lease.renew(now_ms, CONFIGURATION_LEASE_MS);
        self.note_ownership(now_ms);
        self.ask_after_ms = now_ms + LEAD_INTERVAL_MS;
        lost
    }

    pub fn next_wake_ms(&self, true_ms: u64) -> u64 {
        let now_ms = true_ms + self.offset_ms;
        let own_ms = match &self.asked {
            Some(asked) => asked.sent_ms + UPSTREAM_TIMEOUT_MS,
            None => self.ask_after_ms,
        };
        let answers = self.waiting.iter().map(|asker| asker.answer_ms);
        let next_ms = answers.chain([own_ms]).min().unwrap_or(own_ms);
        next_ms.max(now_ms + 1) - self.offset_ms
    }

    /// Assignments that the leader proposes.
    pub fn plan(&mut self, true_ms: u64) -> Vec<AssignCommand> {
        let now_ms = true_ms + self.offset_ms;
        self.ages.observe(now_ms, self.held.assignments.applied());
        let held = &self.held;
        let mut commands = plan_unassigned(&held.roster, &held.assignments, &held.wanted);
        if self.publisher.knows_all_members(now_ms) {
            let aged = self.ages.aged_epoch();
            commands.extend(plan_reassignments(&held.roster, &held.assignments, aged));
        }
        commands
    }

    /// Takes a subscriber's request.
    pub fn requested(
        &mut self,
        true_ms: u64,
        from: usize,
        number: u64,
        request: SyncRequest,
        leads: bool,
    ) {
        let now_ms = true_ms + self.offset_ms;
        let (own, forwarded) = request.heartbeats.split_first().expect("a heartbeat");
        for heartbeat in forwarded {
            self.publisher.record_forwarded_heartbeat(now_ms, heartbeat);
        }
        let elsewhere = !self.leads && self.held.roster.supersedes(&own.member);
        let superseded = elsewhere
            || self.publisher.record_heartbeat(now_ms, own) == HeartbeatResult::Superseded;
        let publishes = leads || self.held.lease.relayed_lease_ms(now_ms, now_ms).is_some();
        let at_once = superseded || !publishes;
        self.want(&request.unowned_shards);
        self.waiting.push(Waiting {
            answer_ms: if at_once {
                now_ms
            } else {
                now_ms + request.wait_ms
            },
            from,
            has_news: at_once,
            number,
            received_ms: now_ms,
            request,
        });
    }

    /// Asks a publisher where no answer is awaited.
    pub fn subscribe(
        &mut self,
        true_ms: u64,
        voters: &[InstanceName],
    ) -> Option<(InstanceName, Message)> {
        let now_ms = true_ms + self.offset_ms;
        self.leads = false;
        if let Some(asked) = &self.asked {
            if now_ms < asked.sent_ms + UPSTREAM_TIMEOUT_MS {
                return None;
            }
            self.upstream.record_failure(now_ms, &asked.publisher);
            self.asked = None;
            self.ask_after_ms = now_ms + RETRY_MS;
        }
        if now_ms < self.ask_after_ms {
            return None;
        }
        let held = &self.held;
        let leader = held.leader.as_ref();
        let Some(publisher) = self.upstream.choose(now_ms, &held.roster, voters, leader) else {
            self.upstream.forget_failures();
            self.ask_after_ms = now_ms + RETRY_MS;
            return None;
        };
        self.number = self.number.wrapping_add(1);
        self.asked = Some(Asked {
            number: self.number,
            publisher: publisher.clone(),
            sent_ms: now_ms,
        });
        let request = Box::new(self.request(now_ms));
        Some((
            publisher,
            Message::Request(self.place, self.number, request),
        ))
    }

    /// Asks for owners of shards.
    pub fn want(&mut self, shards: &[Shard]) {
        let held = &mut self.held;
        held.wanted.extend_from_slice(shards);
        held.wanted.sort();
        held.wanted.dedup();
        held.wanted
            .retain(|shard| held.assignments.get(shard).is_none());
    }

    fn compose(&mut self, now_ms: u64, asker: &Waiting, committed: &Committed) -> Message {
        let request = &asker.request;
        let leads = self.leads && self.term == Some(committed.term);
        if leads {
            self.pull(now_ms, committed);
        }
        let own = &request.heartbeats[0].member;
        let superseded =
            self.publisher.roster().supersedes(own) || (!leads && self.held.roster.supersedes(own));
        let held = &self.held;
        let lease_ms = if leads {
            Some(CONFIGURATION_LEASE_MS)
        } else {
            held.lease.relayed_lease_ms(now_ms, asker.received_ms)
        };
        let answer = match (lease_ms, held.leader.clone()) {
            // A publisher without a lease may know only of runs that are long gone.
            (Some(_), _) if superseded => SyncAnswer::Superseded,
            (Some(lease_ms), Some(leader)) => SyncAnswer::Update(SyncUpdate {
                assignments: held.assignments.update_since(request.assignments_index),
                in_force_revision: held.in_force,
                leader,
                lease_ms,
                roster: held
                    .roster
                    .update_since(request.roster_epoch, request.roster_version),
                table: self.publication(request.table_revision),
            }),
            (_, leader) => SyncAnswer::NotPublisher { leader },
        };
        Message::Answer(asker.number, Box::new(answer))
    }

    fn has_news(&self, request: &SyncRequest) -> bool {
        let held = &self.held;
        held.table.revision().0 > request.table_revision.0
            || held.assignments.applied() > request.assignments_index
            || held
                .roster
                .update_since(request.roster_epoch, request.roster_version)
                .is_some()
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            age_ms: 0,
            applied: LogIndex(self.table()),
            member: self.member.clone(),
        }
    }

    fn note_ownership(&mut self, now_ms: u64) {
        let member = &self.member;
        for assignment in self.held.assignments.iter().filter(|assignment| {
            assignment.owner == member.name && assignment.incarnation == member.incarnation
        }) {
            let known = |owned: &Owned| owned.epoch == assignment.epoch;
            if self.owned.iter().any(known) {
                continue;
            }
            let wait_ms = match assignment.predecessor {
                Predecessor::Lapsed | Predecessor::None => 0,
                Predecessor::Live => CONFIGURATION_LEASE_MS,
            };
            self.owned.push(Owned {
                epoch: assignment.epoch,
                from_ms: now_ms + wait_ms,
                shard: assignment.shard.clone(),
            });
        }
    }

    fn publication(&self, from: LogIndex) -> Option<Publication> {
        let to = self.held.table.revision();
        if from.0 >= to.0 {
            return None;
        }
        let changes = &self.held.changes;
        let first = changes.partition_point(|change| change.revision.0 <= from.0);
        Some(Publication::Delta(Delta {
            changes: changes[first..].to_vec(),
            from: Revision(from.0),
            to,
        }))
    }

    fn pull(&mut self, now_ms: u64, committed: &Committed) {
        let held = &mut self.held;
        if committed.table > held.table.revision().0 {
            let first = held.changes.len().min(committed.changes.len());
            let changes = committed.changes[first..].to_vec();
            held.changes.extend_from_slice(&changes);
            held.table.apply(Publication::Delta(Delta {
                changes,
                from: held.table.revision(),
                to: Revision(committed.table),
            }));
            self.pending.push(Accepted {
                at_ms: now_ms,
                revision: LogIndex(committed.table),
            });
        }
        if let Some(update) = committed
            .assignments
            .update_since(held.assignments.applied())
        {
            held.assignments.merge(&update);
        }
        let assignments = &held.assignments;
        held.wanted.retain(|shard| assignments.get(shard).is_none());
    }

    fn reached(&mut self, now_ms: u64) -> LogIndex {
        let publisher = &self.publisher;
        let is_in_force =
            |accepted: &&Accepted| publisher.is_in_force(now_ms, accepted.revision, accepted.at_ms);
        let reached = self.pending.iter().filter(is_in_force);
        let reached = reached.map(|accepted| accepted.revision).max();
        let reached = reached.unwrap_or_default();
        self.pending.retain(|accepted| accepted.revision > reached);
        reached
    }

    fn request(&mut self, now_ms: u64) -> SyncRequest {
        self.publisher.expire(now_ms);
        let mut heartbeats = self.publisher.heartbeats(now_ms);
        heartbeats.retain(|heartbeat| heartbeat.member.name != self.member.name);
        heartbeats.insert(0, self.heartbeat());
        let held = &self.held;
        SyncRequest {
            assignments_index: held.assignments.applied(),
            heartbeats,
            roster_epoch: held.roster.epoch(),
            roster_version: held.roster.version(),
            table_revision: LogIndex(self.table()),
            wait_ms: self.upstream.wait_ms(),
            unowned_shards: held.wanted.clone(),
        }
    }

    fn take(&mut self, true_ms: u64, sent_ms: u64, update: SyncUpdate) {
        let before = (self.held.roster.epoch(), self.held.roster.version());
        let held = &mut self.held;
        if let Some(publication) = update.table {
            if let Publication::Delta(delta) = &publication {
                held.changes.extend_from_slice(&delta.changes);
            }
            held.table.apply(publication);
        }
        if let Some(assignments) = &update.assignments {
            held.assignments.merge(assignments);
        }
        if let Some(roster) = &update.roster {
            held.roster.apply(roster);
        }
        let after = (held.roster.epoch(), held.roster.version());
        assert!(after >= before, "a roster went back");
        held.in_force = held.in_force.max(update.in_force_revision);
        held.leader = Some(update.leader);
        held.lease.renew(sent_ms, update.lease_ms);
        let assignments = &held.assignments;
        held.wanted.retain(|shard| assignments.get(shard).is_none());
        if held.lease.is_live(true_ms + self.offset_ms) {
            self.serving_ms.get_or_insert(true_ms);
        }
        self.note_ownership(true_ms + self.offset_ms);
    }
}
