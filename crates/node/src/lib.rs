//! One running instance: its roles, connections and timers around the decision cores.

mod settings;

pub use settings::{Access, Peer, Settings};
