//! The replicated state: table, shard assignments and claims, changed by one log.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use claims::{ClaimLimits, Claims};
use control::StateMachine;
use names::LogIndex;
use serde::{Deserialize, Serialize};
use session::{AssignCommand, Assignments};
use table::{Edit, EditOutcome, Table};

/// A command of the replicated log; encoded by position, so the order of variants is fixed.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Command {
    /// Assigns a shard to an owner.
    Assign(AssignCommand),
    /// Changes a claim.
    Claim(claims::Command),
    /// Changes the table.
    Edit(Edit),
}

/// Answer to a [`Command`]; encoded by position, so the order of variants is fixed.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Answer {
    /// Whether the assignment was applied.
    Assign(bool),
    /// Answer to a command of the claims.
    Claim(claims::Answer),
    /// Answer to an edit.
    Edit(EditOutcome),
}

/// State that every voter derives from the log.
#[derive(Debug)]
pub(crate) struct ReplicatedState {
    pub(crate) assignments: Assignments,
    pub(crate) claims: Claims,
    pub(crate) table: Table,
}

/// A voter's copy of the replicated state; applying the log changes it, the publisher reads it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedReplicatedState(Arc<Mutex<ReplicatedState>>);

/// Snapshot of the replicated state; encoded by position.
#[derive(Debug, Deserialize, Serialize)]
struct EncodedState {
    assignments: Assignments,
    claims: Vec<u8>,
    table: Vec<u8>,
}

impl SharedReplicatedState {
    pub(crate) fn lock(&self) -> MutexGuard<'_, ReplicatedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ReplicatedState {
    fn default() -> Self {
        Self {
            assignments: Assignments::default(),
            claims: Claims::new(ClaimLimits::default()),
            table: Table::default(),
        }
    }
}

impl ReplicatedState {
    fn apply(&mut self, index: LogIndex, timestamp_ms: u64, command: &Command) -> Answer {
        self.claims.advance(timestamp_ms);
        self.table.advance(timestamp_ms);
        match command {
            Command::Assign(assign) => Answer::Assign(self.assignments.apply(index, assign)),
            Command::Claim(claim) => Answer::Claim(self.claims.apply(index, timestamp_ms, claim)),
            Command::Edit(edit) => Answer::Edit(self.table.apply(index, timestamp_ms, edit)),
        }
    }
}

impl StateMachine for SharedReplicatedState {
    fn apply(&mut self, index: LogIndex, timestamp_ms: u64, command: &[u8]) -> Vec<u8> {
        let command: Command =
            postcard::from_bytes(command).expect("only decodable commands are proposed");
        let answer = self.lock().apply(index, timestamp_ms, &command);
        encode(&answer)
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let encoded: EncodedState = postcard::from_bytes(snapshot).expect("snapshots decode");
        *self.lock() = ReplicatedState {
            assignments: encoded.assignments,
            claims: Claims::restore(&encoded.claims).expect("snapshots of claims decode"),
            table: Table::restore(&encoded.table).expect("snapshots of the table decode"),
        };
    }

    fn snapshot(&self) -> Vec<u8> {
        let state = self.lock();
        encode(&EncodedState {
            assignments: state.assignments.clone(),
            claims: state.claims.snapshot(),
            table: state.table.snapshot(),
        })
    }
}

/// Encodes a value for the replicated log or for a message between voters.
pub(crate) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("values of the log encode without failure")
}
