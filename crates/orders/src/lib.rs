//! Orders to engines: load or unload a model, adapter or version, or change the role.
//!
//! An order is an intent in the replicated log before anything is sent. Its position in the log is
//! its fencing number, so numbers only grow. Each endpoint has at most one open order; an order that
//! has not started can be cancelled, since nothing was sent. An order starts by a second command,
//! which also takes a place in the budget of the weight store.
//!
//! The [`Issuer`] runs at the leader under its configuration lease. Engines that check fencing
//! numbers refuse whatever is older than the newest number seen. For engines that ignore them it
//! waits until no earlier attempt can still arrive, reads the state back, and only then sends.
//!
//! Orders are rare, so sorted vectors hold them even for thousands of endpoints.

mod answer;
mod command;
mod error;
mod issuer;
mod order;
mod orders;
mod plan;

pub use answer::Answer;
pub use command::Command;
pub use error::Error;
pub use issuer::{Action, Event, Issuer, Reply};
pub use order::{Change, Fencing, Order, OrderId, OrderState, Outcome};
pub use orders::{Orders, SettledOrder};
pub use plan::{Lack, plan_starts};

/// Longest time after which an order that was sent can still take effect.
pub const ORDER_LIFE_MS: u64 = 30_000;

/// Time after an unanswered order before it is sent again to an engine that checks fencing numbers.
pub const RESEND_MS: u64 = 5_000;

/// Most settled orders that are remembered for repeats.
pub const SETTLED_MAX: usize = 16_384;
