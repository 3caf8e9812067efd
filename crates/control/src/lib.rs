//! Runs replicas of the replicated state: Raft core, journal, state machine.
//!
//! [`GroupHandle::open`] opens the journal of a data folder, restores the state machine and starts
//! an actor that owns the replica. A writer task owns the journal. It collects all pending writes
//! of one or several groups, makes them durable with one sync, and reports each write to its
//! replica. Proposals that arrive while a write of their group is in progress are appended together
//! after that write.
//!
//! The network is behind [`Transport`], the replicated state behind [`StateMachine`].
//!
//! A proposal has three outcomes: a response, once its command is committed and applied here; an
//! error of which [`Error::is_not_run`] is true, if the command was not appended; or
//! [`Error::Unknown`], if leadership was lost in between. The command may then be committed or not,
//! so a retry must be idempotent.
//!
//! A group is bootstrapped once, when every initial voter runs with an empty data folder and has
//! the same list of initial voters. Further instances announce themselves and are added by
//! [`GroupHandle::change_membership`]. A voter that restarts with an empty folder rejoins without
//! such a call once its old identity has stopped responding. It is a learner until it holds every
//! committed entry; see [`Settings::rejoin_blank_voters`].
//!
//! When the journal fails, the replica is dropped: the instance stops voting and acknowledging, and
//! every call returns the cause.

mod codec;
mod error;
mod group_handle;
mod host;
mod journal_writer;
mod open;
mod settings;
mod state_machine;
mod status;
mod transport;

pub use error::Error;
pub use group_handle::{CommandResponse, GroupHandle};
pub use host::MembershipChangeRequest;
pub use open::GroupConfig;
pub use settings::Settings;
pub use state_machine::StateMachine;
pub use status::{GroupStatus, LeaderStatus};
pub use transport::Transport;
