//! Log replication core without input or output.
//!
//! A [`Replica`] is a state machine: the host hands it the time and an [`Input`], and it appends
//! [`Output`]s for the host to carry out. It opens no file or socket, reads no clock and draws
//! random numbers from a seed, so a run can be repeated exactly.
//!
//! The protocol is of the Raft family: terms with one leader each, pre-vote, a leader that steps
//! down when a quorum no longer answers, a window of bytes in flight per follower, snapshots in
//! chunks, learners, and membership changes of one voter at a time. Differences worth knowing:
//!
//! - **Durability in the types.** Acknowledgements and votes that depend on a [`Write`] stay
//!   inside the replica until the host hands back [`Synced`], which only that write turns into.
//! - **Storage identity.** A [`Member`] is a name and the random identity of its data folder.
//!   Votes and acknowledgements count only for that pair, so a wiped folder cannot speak under
//!   the identity that it lost. It joins again as a learner, and becomes a voter once it holds
//!   everything committed.
//! - **Founding.** Blank initial voters introduce themselves to each other. The one with the
//!   least name founds the group once all of them have said that they are blank and named the same
//!   initial voters; the term of the first entry comes from the founder's storage identity, so two foundings never share it.
//! - **Stalled disks.** A leader whose write takes too long steps down, for its heartbeats would
//!   keep the others from electing a leader that can commit.
//! - **Proof of leadership** is a round of heartbeats that a quorum answers; no promise depends
//!   on clocks. Clocks that jump cost at most an election.

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
mod role;
mod sender;
mod settings;
mod status;
mod validity;
mod writes;

pub use entry::{Entry, HardState, Payload, Snapshot, Term};
pub use error::Refusal;
pub use input::{Input, Proposal, RequestNumber};
pub use member::{Member, StorageId};
pub use membership::{Learner, Membership, MembershipChange};
pub use message::{
    Append, AppendAnswer, AppendResult, Envelope, GroupId, Hello, Introduction, Message,
    SnapshotAnswer, SnapshotChunk, Standing, VoteAnswer, VoteRequest,
};
pub use output::{Output, Synced, Write};
pub use replica::{Recovered, Replica};
pub use role::RoleName;
pub use settings::Settings;
pub use status::{FollowerStatus, ReplicaStatus};
