//! Forwards clients' requests to endpoints by a replicated configuration document.
//!
//! A [`Gateway`] finds the route and customer of a request in the active catalog, chooses an
//! endpoint and forwards the request. Decisions are in modules without network access: the order of
//! waiting requests, the retry budget, the health of endpoints, and the retry times of refused
//! clients. A [`Dialect`] defines the headers and message formats of clients and endpoints.
//!
//! Whether a request may be retried depends on its route alone. A request that is not idempotent is
//! retried only if it has certainly not run: before any byte was sent, or after the endpoint said
//! so. The gateway's own responses with status 429 or 503 promise that the request has not run.

mod admission;
mod attempt;
mod attempts;
mod client_phase;
mod clock;
mod connection;
mod dialect;
mod endpoint;
mod endpoint_health;
mod endpoint_limit;
mod endpoint_notice;
mod event_intervals;
mod event_reader;
mod fleet;
mod gateway;
mod gateway_state;
mod handler;
mod ingress;
mod migration_policy;
mod outcome;
mod part_evidence;
mod relay;
mod request_body;
mod response;
mod retry_after_schedule;
mod retry_budget;
mod settings;
mod stream_origin;
mod wait_queue;

pub use dialect::{
    AttemptHead, CacheCopy, CopyOutcome, Dialect, GenerationSize, Rejection, RequestHead,
    ResponseHead,
};
pub use endpoint_health::EndpointHealth;
pub use endpoint_limit::EndpointLimit;
pub use endpoint_notice::EndpointNotice;
pub use event_intervals::{EventIntervals, slowness_percent};
pub use event_reader::EventReader;
pub use fleet::{subset_key, subset_key_max};
pub use gateway::{Error, Gateway};
pub use migration_policy::{is_nearly_complete, needs_second_copy};
pub use retry_after_schedule::RetryAfterSchedule;
pub use retry_budget::{RequestCounts, RetryBudget, RetryLimits};
pub use settings::{Distance, GatewaySettings, Topology};
pub use wait_queue::{WaitQueue, Waiter};
