//! Decisions of the entry, without I/O.
//!
//! A [`Call`] decides over one generation, a [`ServiceCall`] over one call of a plain service. Both
//! take typed events with the current time and append typed actions; the modules around them own
//! sockets, timers and locks. A [`Delivery`] stands right before the caller's socket and stops the
//! process if a token would reach the caller twice, out of order or from a second generation.
//!
//! What a caller is told follows from the [`FailurePoint`] alone, by [`outcome_at`]. A request with
//! several attempts gets the worst of their outcomes.

mod action;
mod backoff;
mod budget;
mod call;
mod delivery;
mod ejector;
mod event;
mod gaps;
mod outcome;
mod patience;
mod repeat;
mod run;
mod service_call;

pub use action::{Action, Cause, Failure};
pub use backoff::Backoff;
pub use budget::{Budgets, RetryBudget};
pub use call::{Call, Mode};
pub use delivery::{Delivery, TokenRun};
pub use ejector::{Ejector, Verdict};
pub use event::{Event, GenerationEnd, Status};
pub use gaps::GapModel;
pub use outcome::{FailurePoint, Outcome, outcome_at};
pub use patience::Patience;
pub use repeat::Repeat;
pub use service_call::{ClaimState, ServiceAction, ServiceCall, ServiceEvent};
