mod event_handlers;
mod event_queue;
mod pending_requests;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use agreement::{
    Entry, Input, Member, Output, Payload, RecoveredState, Replica, ReplicaRole, Snapshot,
};
use names::LogIndex;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::journal_writer::WriteJob;
use crate::{Error, LeaderStatus, Settings, StateMachine, Transport};
pub use event_handlers::MembershipChangeRequest;
pub(crate) use event_handlers::{ProcessEvents, ReplySender};
pub(crate) use event_queue::{Event, EventReceiver, EventSender};
use pending_requests::PendingRequests;

/// Channels on which a host sends.
pub(crate) struct HostChannels {
    /// Event queue of this host, for the results of its writes.
    pub(crate) events: EventSender,
    /// Write queue of the task that owns the journal.
    pub(crate) journal_jobs: UnboundedSender<WriteJob>,
    /// Network to the other instances.
    pub(crate) transport: Arc<dyn Transport>,
}

/// Actor that owns the replica and state machine of a group, and executes the replica's outputs.
#[derive(xtra::Actor)]
pub(crate) struct ReplicaHost {
    /// Length of the commands that were applied since the latest snapshot.
    applied_bytes: u64,
    applied_index: watch::Sender<LogIndex>,
    channels: HostChannels,
    events: EventReceiver,
    /// Cause of a journal failure.
    failure: Option<String>,
    leader_status: watch::Sender<LeaderStatus>,
    next_rejoin_ms: u64,
    opened_at: Instant,
    pending_write_count: usize,
    /// `None` after a journal failure.
    replica: Option<Replica>,
    requests: PendingRequests,
    settings: Settings,
    snapshot_index: LogIndex,
    /// Time of the latest snapshot, on the clock of `now_ms`.
    snapshot_ms: u64,
    state_machine: Box<dyn StateMachine>,
}

impl ReplicaHost {
    pub(crate) fn new(
        settings: Settings,
        member: &Member,
        recovered: RecoveredState,
        mut state_machine: Box<dyn StateMachine>,
        events: EventReceiver,
        channels: HostChannels,
    ) -> (
        Self,
        watch::Receiver<LogIndex>,
        watch::Receiver<LeaderStatus>,
    ) {
        let snapshot_index = recovered
            .snapshot
            .as_ref()
            .map_or(LogIndex(0), |snapshot| snapshot.index);
        if let Some(snapshot) = &recovered.snapshot {
            state_machine.restore(&snapshot.data);
        }
        let replica = open_replica(&settings, member, recovered);
        let (applied_index, applied_index_receiver) = watch::channel(snapshot_index);
        let (leader_status, leader_status_receiver) = watch::channel(LeaderStatus::default());
        let host = Self {
            applied_bytes: 0,
            applied_index,
            channels,
            events,
            failure: None,
            leader_status,
            next_rejoin_ms: 0,
            opened_at: Instant::now(),
            pending_write_count: 0,
            replica: Some(replica),
            requests: PendingRequests::default(),
            settings,
            snapshot_index,
            snapshot_ms: 0,
            state_machine,
        };
        (host, applied_index_receiver, leader_status_receiver)
    }

    /// Passes an input to the replica and executes its outputs.
    fn step(&mut self, input: Input) {
        let now_ms = self.now_ms();
        let Some(replica) = &mut self.replica else {
            return;
        };
        let mut outputs = Vec::new();
        replica.handle(now_ms, input, &mut outputs);
        for output in outputs {
            self.execute(output);
        }
        self.publish_leader_status();
        self.compact_if_due();
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Appended {
                index,
                request,
                term,
            } => self.requests.on_appended(request, index, term),
            Output::Apply(entries) => self.apply(&entries),
            Output::LeadershipTransferStarted { request } => {
                self.requests.on_leadership_transfer_started(request);
            }
            Output::Persist(write) => {
                self.pending_write_count += 1;
                let job = WriteJob {
                    group: self.settings.group,
                    host: self.channels.events.clone(),
                    write,
                };
                if self.channels.journal_jobs.send(job).is_err() {
                    self.stop_after_failure("the journal writer task has ended".to_owned());
                }
            }
            Output::ReadIndex { index, request } => {
                self.requests.on_read_index_confirmed(request, index);
            }
            Output::Rejected { reason, request } => self.requests.on_rejected(request, reason),
            Output::Restore(snapshot) => self.restore(&snapshot),
            Output::Send(envelope) => self.channels.transport.send(envelope),
        }
    }

    fn apply(&mut self, entries: &[Entry]) {
        for entry in entries {
            let applied_index = *self.applied_index.borrow();
            assert_eq!(
                entry.index.0,
                applied_index.0 + 1,
                "entries are applied once and in order"
            );
            let response = match &entry.payload {
                Payload::Command(command) => {
                    self.applied_bytes += command.len() as u64;
                    self.state_machine
                        .apply(entry.index, entry.timestamp_ms, command)
                }
                Payload::Membership(_) | Payload::Noop => Vec::new(),
            };
            self.applied_index.send_replace(entry.index);
            self.requests.on_applied(entry.index, entry.term, response);
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        self.state_machine.restore(&snapshot.data);
        self.applied_bytes = 0;
        self.snapshot_index = snapshot.index;
        self.applied_index.send_replace(snapshot.index);
    }

    fn compact_if_due(&mut self) {
        let applied_index = *self.applied_index.borrow();
        let entry_count = applied_index.0 - self.snapshot_index.0;
        let age_ms = self.now_ms() - self.snapshot_ms;
        let is_due = entry_count >= self.settings.compact_after_entries
            || self.applied_bytes >= self.settings.compact_after_bytes
            || entry_count > 0 && age_ms >= self.settings.compact_after_ms;
        if !is_due {
            return;
        }
        self.applied_bytes = 0;
        self.snapshot_index = applied_index;
        self.snapshot_ms = self.now_ms();
        let data = self.state_machine.snapshot();
        let index = applied_index;
        self.step(Input::Compact { data, index });
    }

    fn publish_leader_status(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        let leader_status = leader_status_of(replica);
        if !leader_status.is_leader {
            self.requests.on_not_leader(leader_status.leader.as_ref());
        }
        let log = &self.settings.log;
        self.leader_status.send_if_modified(|known| {
            let is_changed = *known != leader_status;
            if is_changed {
                slog::info!(log, "role changed"; "term" => leader_status.term.0,
                    "is_leader" => leader_status.is_leader,
                    "leader" => leader_status.leader.as_ref().map(ToString::to_string));
                *known = leader_status;
            }
            is_changed
        });
    }

    /// Proposes the queued commands, unless a write is in progress; they then follow as one batch.
    fn propose_queued(&mut self) {
        if self.pending_write_count > 0 || !self.requests.has_queued_proposals() {
            return;
        }
        let proposals = self.requests.drain_queued_proposals();
        let timestamp_ms = wall_clock_ms();
        self.step(Input::Propose {
            proposals,
            timestamp_ms,
        });
    }

    /// Drops the replica after the journal failed, so that it no longer votes or acknowledges.
    fn stop_after_failure(&mut self, cause: String) {
        slog::crit!(self.settings.log, "journal failed, replica stopped"; "cause" => &cause);
        self.replica = None;
        self.failure = Some(cause);
        self.requests.on_stopped();
        self.leader_status.send_replace(LeaderStatus::default());
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
        u64::try_from(self.opened_at.elapsed().as_millis()).expect("uptime fits u64")
    }
}

fn open_replica(settings: &Settings, member: &Member, recovered: RecoveredState) -> Replica {
    let replica_settings = agreement::Settings {
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
    Replica::open(replica_settings, recovered, 0, seed)
}

fn leader_status_of(replica: &Replica) -> LeaderStatus {
    let (role, leader, term) = (replica.role(), replica.leader(), replica.term());
    LeaderStatus {
        is_leader: role == ReplicaRole::Leader,
        leader: leader.cloned(),
        term,
    }
}

fn wall_clock_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |since_epoch| {
        u64::try_from(since_epoch.as_millis()).expect("time fits u64")
    })
}
