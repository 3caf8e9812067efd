//! One replica whose messages a test reads and answers by hand.

use agreement::{
    Append, Entry, Envelope, GroupId, HardState, Input, Member, Membership, MembershipChange,
    Message, Output, Payload, Proposal, Recovered, Refusal, Replica, ReplicaStatus, RequestNumber,
    Settings, StorageId, Term, VoteAnswer, Write,
};
use names::{InstanceName, LogIndex};

pub const FOUNDED_TERM: Term = Term(7);

pub struct Driver {
    confirmed: Vec<RequestNumber>,
    held_back: Vec<Write>,
    is_disk_stuck: bool,
    now_ms: u64,
    refused: Vec<Refusal>,
    replica: Replica,
}

pub fn member(number: u8, storage: u128) -> Member {
    Member {
        name: InstanceName::new(&format!("node-{number}")).unwrap(),
        storage: StorageId(storage),
    }
}

fn voters() -> Vec<Member> {
    (0..3).map(|at| member(at, u128::from(at))).collect()
}

impl Driver {
    /// The first of three initial voters, with an empty disk.
    pub fn blank() -> Self {
        Self::open(Recovered::default())
    }

    /// The first of three voters, with a log that holds the membership only.
    pub fn voter() -> Self {
        let founding = Entry {
            at_ms: 0,
            index: LogIndex(1),
            payload: Payload::Membership(Membership::new(voters())),
            term: FOUNDED_TERM,
        };
        Self::open(Recovered {
            entries: vec![founding],
            hard_state: HardState {
                term: FOUNDED_TERM,
                vote: None,
            },
            snapshot: None,
        })
    }

    /// The first of three voters, following the second.
    pub fn follower() -> Self {
        let mut driver = Self::voter();
        let heartbeat = Message::Append(Append {
            commit: LogIndex(1),
            entries: Vec::new(),
            previous_index: LogIndex(1),
            previous_term: FOUNDED_TERM,
            round: 0,
        });
        driver.receive(&member(1, 1), heartbeat, 0);
        driver
    }

    /// The first of three voters, elected.
    pub fn leader() -> Self {
        let mut driver = Self::voter();
        driver.pass_time(3_000);
        for (pre_vote, ahead) in [(true, 1), (false, 0)] {
            let answer = VoteAnswer {
                granted: true,
                pre_vote,
            };
            driver.receive(&member(1, 1), Message::VoteAnswer(answer), ahead);
        }
        driver
    }

    pub fn status(&self) -> ReplicaStatus {
        self.replica.status()
    }

    pub fn pass_time(&mut self, elapsed_ms: u64) -> Vec<Envelope> {
        self.now_ms += elapsed_ms;
        self.handle(Input::Tick)
    }

    pub fn compact(&mut self) {
        let index = self.status().commit;
        let data = vec![1];
        self.handle(Input::Compact { data, index });
    }

    /// Takes a message of the current term, or of a later one.
    pub fn receive(&mut self, from: &Member, message: Message, ahead: u64) -> Vec<Envelope> {
        let envelope = self.envelope(from, message, ahead);
        self.receive_envelope(envelope)
    }

    pub fn receive_envelope(&mut self, envelope: Envelope) -> Vec<Envelope> {
        self.handle(Input::Message(envelope))
    }

    pub fn envelope(&self, from: &Member, message: Message, ahead: u64) -> Envelope {
        Envelope {
            from: from.clone(),
            group: GroupId(1),
            message,
            term: Term(self.status().term.0 + ahead),
            to: member(0, 0).name,
            to_storage: Some(StorageId(0)),
        }
    }

    pub fn open(recovered: Recovered) -> Self {
        let names = voters().into_iter().map(|voter| voter.name).collect();
        let settings = Settings {
            in_flight_bytes_max: 100,
            retained_entries: 1,
            ..Settings::new(GroupId(1), member(0, 0), names)
        };
        Self {
            confirmed: Vec::new(),
            held_back: Vec::new(),
            is_disk_stuck: false,
            now_ms: 0,
            refused: Vec::new(),
            replica: Replica::open(settings, recovered, 0, 1),
        }
    }

    /// From now on no write becomes durable.
    pub fn stick_disk(&mut self) {
        self.is_disk_stuck = true;
    }

    pub fn free_disk(&mut self) -> Vec<Envelope> {
        self.is_disk_stuck = false;
        let writes = std::mem::take(&mut self.held_back).into_iter();
        writes
            .flat_map(|write| self.handle(Input::Synced(write.synced())))
            .collect()
    }

    pub fn propose(&mut self) {
        let proposals = vec![Proposal {
            command: vec![1],
            request: RequestNumber(1),
        }];
        self.handle(Input::Propose {
            at_ms: 1,
            proposals,
        });
    }

    pub fn change(&mut self, change: MembershipChange) {
        self.handle(Input::Change {
            at_ms: 1,
            change,
            request: RequestNumber(1),
        });
    }

    pub fn refused(&self) -> &[Refusal] {
        &self.refused
    }

    pub fn confirm(&mut self, request: u64) {
        let request = RequestNumber(request);
        self.handle(Input::Confirm { request });
    }

    pub fn confirmed(&self) -> &[RequestNumber] {
        &self.confirmed
    }

    /// Hands over an input, and makes every write durable; gives the messages sent.
    pub fn handle(&mut self, input: Input) -> Vec<Envelope> {
        let mut sent = Vec::new();
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut outputs = Vec::new();
            self.replica.handle(self.now_ms, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Confirmed { request, .. } => self.confirmed.push(request),
                    Output::Persist(write) if self.is_disk_stuck => self.held_back.push(write),
                    Output::Persist(write) => inputs.push(Input::Synced(write.synced())),
                    Output::Refused { refusal, .. } => self.refused.push(refusal),
                    Output::Send(envelope) => sent.push(envelope),
                    _ => {}
                }
            }
        }
        sent
    }
}
