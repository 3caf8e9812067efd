mod inbox;
mod messages;
mod requests;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use agreement::{Entry, Input, Member, Output, Payload, Recovered, Replica, RoleName, Snapshot};
use names::LogIndex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::writer::WriteJob;
use crate::{Error, LeaderStatus, Settings, StateMachine, Transport};
pub(crate) use inbox::{Event, Events, Inbox};
pub use messages::MembershipChangeRequest;
pub(crate) use messages::{Drain, Reply};
use requests::Requests;

/// Where a host sends to.
pub(crate) struct Links {
    /// The host's own events.
    pub(crate) inbox: Inbox,
    /// The task that owns the journal.
    pub(crate) jobs: UnboundedSender<WriteJob>,
    /// Other instances.
    pub(crate) transport: Arc<dyn Transport>,
}

/// Actor that owns the replica and the state machine of one group.
#[derive(xtra::Actor)]
pub(crate) struct Host {
    applied: watch::Sender<LogIndex>,
    compacted: LogIndex,
    compacted_at_ms: u64,
    events: Events,
    failure: Option<String>,
    links: Links,
    machine: Box<dyn StateMachine>,
    next_rejoin_ms: u64,
    opened_at: Instant,
    replica: Option<Replica>,
    requests: Requests,
    role: watch::Sender<LeaderStatus>,
    settings: Settings,
    writes_in_progress: usize,
}

impl Host {
    pub(crate) fn new(
        settings: Settings,
        member: &Member,
        recovered: Recovered,
        mut machine: Box<dyn StateMachine>,
        events: Events,
        links: Links,
    ) -> (
        Self,
        watch::Receiver<LogIndex>,
        watch::Receiver<LeaderStatus>,
    ) {
        let restored = recovered
            .snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.index);
        if let Some(snapshot) = &recovered.snapshot {
            machine.restore(&snapshot.data);
        }
        let replica = open_replica(&settings, member, recovered);
        let (applied, applied_receiver) = watch::channel(restored);
        let (role, role_receiver) = watch::channel(LeaderStatus::default());
        let host = Self {
            applied,
            compacted: restored,
            compacted_at_ms: 0,
            events,
            failure: None,
            links,
            machine,
            next_rejoin_ms: 0,
            opened_at: Instant::now(),
            replica: Some(replica),
            requests: Requests::default(),
            role,
            settings,
            writes_in_progress: 0,
        };
        (host, applied_receiver, role_receiver)
    }

    /// Hands an input to the replica and carries out what follows from it.
    fn step(&mut self, input: Input) {
        let now_ms = self.now_ms();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let mut outputs = Vec::new();
        replica.handle(now_ms, input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
        self.publish_role();
        self.compact_if_due();
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Appended {
                index,
                request,
                term,
            } => self.requests.on_appended(request, index, term),
            Output::Commit(entries) => self.apply(&entries),
            Output::Confirmed { index, request } => self.requests.on_confirmed(request, index),
            Output::HandingOver { request } => self.requests.on_handing_over(request),
            Output::Persist(write) => {
                self.writes_in_progress += 1;
                let job = WriteJob {
                    group: self.settings.group,
                    host: self.links.inbox.clone(),
                    write,
                };
                if self.links.jobs.send(job).is_err() {
                    self.fail("the task that owns the journal has ended".to_owned());
                }
            }
            Output::Refused { refusal, request } => self.requests.on_refused(request, refusal),
            Output::Restore(snapshot) => self.restore(&snapshot),
            Output::Send(envelope) => self.links.transport.send(envelope),
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        for entry in entries {
            let applied = *self.applied.borrow();
            assert_eq!(
                entry.index.0,
                applied.0 + 1,
                "entries are applied once and in order"
            );
            let answer = match &entry.payload {
                Payload::Command(command) => self.machine.apply(entry.index, entry.at_ms, command),
                Payload::Membership(_) | Payload::Noop => Vec::new(),
            };
            self.applied.send_replace(entry.index);
            self.requests.on_applied(entry.index, entry.term, answer);
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        self.machine.restore(&snapshot.data);
        self.compacted = snapshot.index;
        self.applied.send_replace(snapshot.index);
    }

    fn compact_if_due(&mut self) {
        let applied = *self.applied.borrow();
        let entries = applied.0 - self.compacted.0;
        let age_ms = self.now_ms() - self.compacted_at_ms;
        let is_due = entries >= self.settings.compact_after_entries
            || entries > 0 && age_ms >= self.settings.compact_after_ms;
        if !is_due {
            return;
        }
        self.compacted = applied;
        self.compacted_at_ms = self.now_ms();
        let data = self.machine.snapshot();
        let index = applied;
        self.step(Input::Compact { data, index });
    }

    fn publish_role(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        let role = role_of(replica);
        if !role.is_leader {
            self.requests.on_not_leader(role.leader.as_ref());
        }
        let log = &self.settings.log;
        self.role.send_if_modified(|known| {
            let is_changed = *known != role;
            if is_changed {
                slog::info!(log, "role changed"; "term" => role.term.0,
                    "is_leader" => role.is_leader,
                    "leader" => role.leader.as_ref().map(ToString::to_string));
                *known = role;
            }
            is_changed
        });
    }

    /// Appends waiting proposals, unless a write is in progress: then they go together after it.
    fn append_waiting(&mut self) {
        if self.writes_in_progress > 0 || !self.requests.has_waiting() {
            return;
        }
        let proposals = self.requests.take_waiting();
        let at_ms = wall_clock_ms();
        self.step(Input::Propose { at_ms, proposals });
    }

    /// Stops to vote and acknowledge after the journal failed.
    fn fail(&mut self, cause: String) {
        slog::crit!(self.settings.log, "journal failed, replica stopped"; "cause" => &cause);
        self.replica = None;
        self.failure = Some(cause);
        self.requests.on_stopped();
        self.role.send_replace(LeaderStatus::default());
    }

    fn unavailable(&self) -> Error {
        match &self.failure {
            Some(cause) => Error::Unavailable {
                reason: cause.clone(),
            },
            None => Error::stopped(),
        }
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_millis()).expect("uptime fits")
    }
}

fn open_replica(settings: &Settings, member: &Member, recovered: Recovered) -> Replica {
    let agreement_settings = agreement::Settings {
        election_timeout_ms: settings.election_timeout_ms,
        heartbeat_interval_ms: settings.heartbeat_interval_ms,
        ..agreement::Settings::new(
            settings.group,
            member.clone(),
            settings.initial_voters.clone(),
        )
    };
    let low_bits = member.storage.0 & u128::from(u64::MAX);
    let seed = u64::try_from(low_bits).expect("64 bits fit");
    Replica::open(agreement_settings, recovered, 0, seed)
}

fn role_of(replica: &Replica) -> LeaderStatus {
    let (name, leader, term) = (replica.role(), replica.leader(), replica.term());
    LeaderStatus {
        is_leader: name == RoleName::Leader,
        leader: leader.cloned(),
        term,
    }
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_millis()).expect("time fits")
    })
}
