//! Ingress, placement and forwarding by a configuration document.
//!
//! A [`Gateway`] takes clients' requests, finds their route and customer in the catalog in force,
//! chooses an endpoint, and forwards. Decisions live in modules without network: the order of those who wait, the budget for repeats, the health of endpoints, the times at which
//! refused clients return. Names and formats of clients and endpoints are behind [`Dialect`].
//!
//! What may be repeated follows from the route alone. A request that is not idempotent is sent
//! again only while it certainly has not run: before any byte was written, or after the endpoint
//! said so. Statuses 429 and 503 of this crate's own promise that the request has not run.

mod admission;
mod attempts;
mod clock;
mod connection;
mod dialect;
mod endpoint;
mod event_reader;
mod fleet;
mod gateway;
mod handler;
mod health;
mod ingress;
mod outcome;
mod pace;
mod relay;
mod reply;
mod retry_budget;
mod return_schedule;
mod settings;
mod shared;
mod transfer;
mod wait_queue;

pub use dialect::{
    AttemptHead, CacheCopy, CopyOutcome, Dialect, GenerationSize, RequestHead, ResponseHead,
};
pub use event_reader::EventReader;
pub use fleet::{follow_key, last_followed};
pub use gateway::{Error, Gateway};
pub use health::Health;
pub use pace::{Pace, slowness_percent};
pub use retry_budget::{RetryBudget, RetryLimits, Sendings};
pub use return_schedule::ReturnSchedule;
pub use settings::{Distance, GatewaySettings, Place};
pub use transfer::{ends_soon, is_copied_again};
pub use wait_queue::{WaitQueue, Waiter};
