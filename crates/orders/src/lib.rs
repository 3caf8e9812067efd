//! Orders to engines: load or unload a version of a model or adapter, or change the role.
//!
//! An order is committed to the replicated log before it is sent. Its position in the log is its
//! fencing number, so fencing numbers only grow. Each endpoint has at most one open order. A second
//! command starts the order; a load then counts against the budget of the weight store. An order
//! that has not started can be cancelled, since it was not sent.
//!
//! The [`Issuer`] runs on the leader under its configuration lease. Engines that check fencing
//! numbers refuse every order older than the newest one they received. For other engines the issuer
//! waits until no earlier attempt can still arrive, reads the state back, and only then sends.
//!
//! Orders are rare, so sorted vectors store them even for thousands of endpoints.

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
pub use issuer::{Action, EndpointAnswer, Event, Issuer};
pub use order::{Change, FencingNumber, Order, OrderId, OrderState, Outcome};
pub use orders::{Orders, SettledOrder};
pub use plan::{ReplicaShortage, plan_starts};

/// Time after sending for which an order can still take effect.
pub const ORDER_LIFETIME_MS: u64 = 30_000;

/// Time before an unanswered order is sent again to an engine that checks fencing numbers.
pub const RESEND_INTERVAL_MS: u64 = 5_000;

/// Limit on ended orders that are kept to recognise repeated commands.
pub const SETTLED_MAX: usize = 16_384;
