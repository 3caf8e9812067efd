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
mod endpoint_health;
mod event_intervals;
mod event_reader;
mod fleet;
mod gateway;
mod handler;
mod ingress;
mod migration_policy;
mod outcome;
mod relay;
mod reply;
mod retry_after_schedule;
mod retry_budget;
mod settings;
mod shared;
mod wait_queue;

pub use dialect::{
    AttemptHead, CacheCopy, CopyOutcome, Dialect, GenerationSize, RequestHead, ResponseHead,
};
pub use endpoint_health::EndpointHealth;
pub use event_intervals::{EventIntervals, slowness_percent};
pub use event_reader::EventReader;
pub use fleet::{subset_key, subset_key_max};
pub use gateway::{Error, Gateway};
pub use migration_policy::{is_nearly_complete, needs_second_copy};
pub use retry_after_schedule::RetryAfterSchedule;
pub use retry_budget::{RequestCounts, RetryBudget, RetryLimits};
pub use settings::{Distance, GatewaySettings, Topology};
pub use wait_queue::{WaitQueue, Waiter};
