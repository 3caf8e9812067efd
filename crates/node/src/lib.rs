//! A running instance: its listeners, connections, tasks and timers around the decision cores.
//!
//! [`Node::open`] binds the four listeners and starts the tasks. All tasks share the instance's
//! copy of the published state: table, shard assignments, roster and configuration lease. The
//! subscription task updates this copy from the leader of the voters or from a relay.

mod announcements;
mod clock;
mod components;
mod directory;
mod drainer;
mod error;
mod held_permits;
mod inner_server;
mod interner;
mod intervals;
mod leader_client;
mod leadership_confirmation;
mod node;
mod observer;
mod operators;
mod owner;
mod peers;
mod permit_client;
mod permit_reporter;
mod proposer;
mod published_state;
mod replicated_claims;
mod settings;
mod shard_owners;
mod shard_planner;
mod shard_router;
mod state;
mod state_publisher;
mod subscription;
mod transport;

pub use error::Error;
pub use node::{Addresses, Node};
pub use settings::{Access, Peer, Settings};
