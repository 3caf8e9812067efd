//! Runs a single replica; a test reads and answers its messages.

use agreement::{
    AppendEntries, Entry, Envelope, GroupId, HardState, Input, Member, Membership,
    MembershipChange, Message, Output, Payload, Proposal, RecoveredState, RejectReason, Replica,
    ReplicaRequestId, ReplicaStatus, Settings, StorageId, Term, VoteResponse, Write,
};
use names::{InstanceName, LogIndex};

pub const BOOTSTRAP_TERM: Term = Term(7);

/// Replica under test, with its clock and disk.
pub struct Driver {
    confirmed_reads: Vec<ReplicaRequestId>,
    delayed_writes: Vec<Write>,
    is_disk_stalled: bool,
    now_ms: u64,
    rejected: Vec<RejectReason>,
    replica: Replica,
}

pub fn member(number: u8, storage: u128) -> Member {
    Member {
        name: InstanceName::new(&format!("node-{number}")).unwrap(),
        storage: StorageId(storage),
    }
}

fn voters() -> Vec<Member> {
    (0..3)
        .map(|number| member(number, u128::from(number)))
        .collect()
}

impl Driver {
    /// First of three initial voters, blank.
    pub fn blank() -> Self {
        Self::open(RecoveredState::default())
    }

    /// First of three voters, with a log that holds the membership only.
    pub fn voter() -> Self {
        let bootstrap_entry = Entry {
            timestamp_ms: 0,
            index: LogIndex(1),
            payload: Payload::Membership(Membership::new(voters())),
            term: BOOTSTRAP_TERM,
        };
        Self::open(RecoveredState {
            entries: vec![bootstrap_entry],
            hard_state: HardState {
                term: BOOTSTRAP_TERM,
                vote: None,
            },
            snapshot: None,
        })
    }

    /// First of three voters, with the second as its leader.
    pub fn follower() -> Self {
        let mut driver = Self::voter();
        let heartbeat = Message::AppendEntries(AppendEntries {
            commit_index: LogIndex(1),
            entries: Vec::new(),
            previous_index: LogIndex(1),
            previous_term: BOOTSTRAP_TERM,
            confirmation_round: 0,
        });
        driver.receive(&member(1, 1), heartbeat, 0);
        driver
    }

    /// First of three voters, elected leader.
    pub fn leader() -> Self {
        let mut driver = Self::voter();
        driver.advance_time(3_000);
        for (pre_vote, terms_ahead) in [(true, 1), (false, 0)] {
            let response = VoteResponse {
                granted: true,
                pre_vote,
            };
            driver.receive(&member(1, 1), Message::VoteResponse(response), terms_ahead);
        }
        driver
    }

    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    pub fn advance_time(&mut self, elapsed_ms: u64) -> Vec<Envelope> {
        self.now_ms += elapsed_ms;
        self.handle(Input::Tick)
    }

    pub fn compact(&mut self) {
        let index = self.status().commit_index;
        let data = vec![1];
        self.handle(Input::Compact { data, index });
    }

    /// Receives a message `terms_ahead` terms after the replica's term.
    pub fn receive(&mut self, from: &Member, message: Message, terms_ahead: u64) -> Vec<Envelope> {
        let envelope = self.envelope(from, message, terms_ahead);
        self.receive_envelope(envelope)
    }

    pub fn receive_envelope(&mut self, envelope: Envelope) -> Vec<Envelope> {
        self.handle(Input::Message(envelope))
    }

    pub fn envelope(&self, from: &Member, message: Message, terms_ahead: u64) -> Envelope {
        Envelope {
            from: from.clone(),
            group: GroupId(1),
            message,
            term: Term(self.status().term.0 + terms_ahead),
            to: member(0, 0).name,
            to_storage: Some(StorageId(0)),
        }
    }

    pub fn open(recovered: RecoveredState) -> Self {
        let names = voters().into_iter().map(|voter| voter.name).collect();
        let settings = Settings {
            in_flight_bytes_max: 100,
            retained_entries: 1,
            ..Settings::new(GroupId(1), member(0, 0), names)
        };
        Self {
            confirmed_reads: Vec::new(),
            delayed_writes: Vec::new(),
            is_disk_stalled: false,
            now_ms: 0,
            rejected: Vec::new(),
            replica: Replica::open(settings, recovered, 0, 1),
        }
    }

    /// Delays every write until `resume_disk`.
    pub fn stall_disk(&mut self) {
        self.is_disk_stalled = true;
    }

    pub fn resume_disk(&mut self) -> Vec<Envelope> {
        self.is_disk_stalled = false;
        let writes = std::mem::take(&mut self.delayed_writes).into_iter();
        writes
            .flat_map(|write| self.handle(Input::WriteDurable(write.into_durable())))
            .collect()
    }

    pub fn propose(&mut self) {
        let proposals = vec![Proposal {
            command: vec![1],
            request: ReplicaRequestId(1),
        }];
        self.handle(Input::Propose {
            timestamp_ms: 1,
            proposals,
        });
    }

    pub fn change(&mut self, change: MembershipChange) {
        self.handle(Input::ChangeMembership {
            timestamp_ms: 1,
            change,
            request: ReplicaRequestId(1),
        });
    }

    pub fn rejected(&self) -> &[RejectReason] {
        &self.rejected
    }

    pub fn request_read_index(&mut self, request: u64) {
        let request = ReplicaRequestId(request);
        self.handle(Input::ReadIndex { request });
    }

    pub fn confirmed_reads(&self) -> &[ReplicaRequestId] {
        &self.confirmed_reads
    }

    /// Handles an input, syncs writes unless the disk is stalled, and returns the messages sent.
    pub fn handle(&mut self, input: Input) -> Vec<Envelope> {
        let mut sent = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.replica.handle(self.now_ms, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::ReadIndex { request, .. } => self.confirmed_reads.push(request),
                    Output::Persist(write) if self.is_disk_stalled => {
                        self.delayed_writes.push(write);
                    }
                    Output::Persist(write) => {
                        inputs.push(Input::WriteDurable(write.into_durable()));
                    }
                    Output::Rejected { reason, .. } => self.rejected.push(reason),
                    Output::Send(envelope) => sent.push(envelope),
                    _ => {}
                }
            }
        }
        sent
    }
}
