//! Raft log replication as a state machine without I/O.
//!
//! The host passes the time and an [`Input`] to a [`Replica`], which appends the [`Output`]s that
//! the host has to execute. A replica opens no file or socket, reads no clock and draws random
//! numbers from a seed, so every run can be reproduced exactly.
//!
//! The protocol is Raft with pre-vote, check quorum, a window of bytes in flight per follower,
//! snapshots in chunks, learners, and single-server membership changes. It differs from the Raft
//! literature in these points:
//!
//! - **Durability in the types.** Acknowledgements and votes that depend on a [`Write`] stay
//!   inside the replica until the host returns its [`DurableWrite`], which only that write can be
//!   converted into.
//! - **Storage identity.** A [`Member`] is a name and the random identity of its data folder.
//!   Votes and acknowledgements count only for that pair, so an instance with a wiped folder
//!   cannot vote or acknowledge under the lost identity. It rejoins as a learner, and becomes a
//!   voter once it holds every committed entry.
//! - **Bootstrap.** Blank initial voters exchange [`Hello`] messages. The voter with the least name
//!   bootstraps the group once every initial voter has reported that it is blank and has the same
//!   list of initial voters. The term of the first entry is derived from that voter's storage
//!   identity, so that two bootstraps do not share a term.
//! - **Stalled disks.** A leader steps down if a write takes too long. Otherwise its heartbeats
//!   would keep the voters from electing a leader that can commit.
//! - **Read index.** Leadership is confirmed by a round of heartbeats that a quorum answers. No
//!   guarantee depends on clocks; a clock that jumps causes at most an election.

mod clock;
mod entry;
mod error;
mod input;
mod log;
mod member;
mod membership;
mod message;
mod output;
mod progress;
mod replica;
mod replication_sender;
mod role;
mod settings;
mod status;
mod validity;
mod writes;

pub use entry::{Entry, HardState, Payload, Snapshot, Term};
pub use error::RejectReason;
pub use input::{Input, Proposal, ReplicaRequestId};
pub use member::{Member, StorageId};
pub use membership::{Learner, Membership, MembershipChange};
pub use message::{
    AppendEntries, AppendResponse, AppendResult, BootstrapState, Envelope, ForwardedHello, GroupId,
    Hello, Message, SnapshotChunk, SnapshotResponse, VoteRequest, VoteResponse,
};
pub use output::{DurableWrite, Output, Write};
pub use replica::{RecoveredState, Replica};
pub use role::ReplicaRole;
pub use settings::Settings;
pub use status::{FollowerStatus, ReplicaStatus};
