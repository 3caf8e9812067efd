//! Metrics, histograms and logs of one instance.
//!
//! Histograms carry the customer and the kind of work. The first `CUSTOMERS_MAX` customers seen
//! after a start get series of their own, all later ones share the series `other`, so that memory
//! and scrape size stay bounded.

mod class_metrics;
mod error;
mod gateway_metrics;
mod log;
mod metrics;

pub use class_metrics::{CUSTOMERS_MAX, ClassMetrics};
pub use error::Error;
pub use gateway_metrics::{EndedRequest, GatewayGauges, GatewayMetrics};
pub use log::{LINES_PER_SECOND_DEFAULT, Level, logger, logger_to};
pub use metrics::Metrics;
