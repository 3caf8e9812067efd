//! Hosts the replicated state: agreement, journal, state machine.
//!
//! [`GroupHandle::open`] opens the journal of a data folder, restores the state machine and starts an
//! actor that owns the replica. A writer task owns the journal: it takes all writes that wait, of
//! one or several groups, makes them durable with one sync, and hands the proofs back. Proposals
//! that arrive while a write of their group is in progress are appended together after it.
//!
//! The network is behind [`Transport`], the replicated state behind [`StateMachine`].
//!
//! Outcomes of a proposal: an answer once it is committed and applied here; an error that says it
//! was not appended ([`Error::is_not_run`]); or [`Error::Unknown`] when leadership was lost in
//! between, after which it may or may not be committed. A repeat must then be idempotent.
//!
//! A group is founded once, when every initial voter runs with an empty data folder and names the
//! same initial voters. Later instances introduce themselves and join by
//! [`GroupHandle::change_membership`]. A voter that comes back with an empty folder joins again by itself
//! once its old identity is silent, as a learner until it holds everything committed; see
//! [`Settings::rejoin_blank_voters`].
//!
//! When the journal fails, the replica is dropped: the instance stops voting and acknowledging,
//! and every call says why.

mod codec;
mod error;
mod group_handle;
mod host;
mod open;
mod settings;
mod state_machine;
mod status;
mod transport;
mod writer;

pub use error::Error;
pub use group_handle::{Answer, GroupHandle};
pub use host::MembershipChangeRequest;
pub use open::GroupParts;
pub use settings::Settings;
pub use state_machine::StateMachine;
pub use status::{GroupStatus, LeaderStatus};
pub use transport::Transport;
