//! One running instance: its roles, connections and timers around the decision cores.
//!
//! [`Node::open`] binds the four listeners and starts the tasks. Every task works on what the
//! instance *holds* of the published state: table, shard assignments, roster and configuration
//! lease. The subscription task renews it from the leader of the voters or from a relay.

mod announcements;
mod claiming;
mod clock;
mod confirmer;
mod directory;
mod drainer;
mod error;
mod holdings;
mod inner_server;
mod interner;
mod interval;
mod leader;
mod node;
mod observer;
mod operators;
mod owner;
mod owners;
mod parts;
mod peers;
mod permit_book;
mod permits;
mod planning;
mod proposer;
mod publication;
mod reporter;
mod router;
mod settings;
mod state;
mod subscription;
mod transport;

pub use error::Error;
pub use node::{Addresses, Node};
pub use settings::{Access, Peer, Settings};
