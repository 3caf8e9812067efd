//! Request state machines and retry, stall and ejection rules, without I/O.
//!
//! A [`GenerationCall`] controls one generation, a [`ServiceCall`] one call of a plain service.
//! Both take typed events with the current time and append typed actions. The HTTP modules own
//! sockets, timers and locks and perform the actions. A [`Delivery`] checks each token before it is
//! written to the client: it panics, which stops the process, if a token is repeated, out of order
//! or from a second generation.
//!
//! [`outcome_at`] maps the [`FailurePoint`] of an attempt to the outcome reported to the client. A
//! request with several attempts has the worst of their outcomes.

mod action;
mod backoff;
mod delivery;
mod endpoint_ejector;
mod event;
mod generation_call;
mod interval_histogram;
mod outcome;
mod retry_budgets;
mod retry_policy;
mod sequence;
mod service_call;
mod stall_timeouts;

pub use action::{CallFailure, FailureCause, GenerationAction};
pub use backoff::Backoff;
pub use delivery::{Delivery, TokenRange};
pub use endpoint_ejector::{EndpointEjector, TrafficShare};
pub use event::{FinishReason, GenerationEvent, GenerationStatus};
pub use generation_call::{GenerationCall, ResponseMode};
pub use interval_histogram::IntervalHistogram;
pub use outcome::{FailurePoint, Outcome, outcome_at};
pub use retry_budgets::{RetryBudget, RetryBudgets};
pub use retry_policy::RetryPolicy;
pub use service_call::{ClaimState, ServiceAction, ServiceCall, ServiceEvent};
pub use stall_timeouts::StallTimeouts;
