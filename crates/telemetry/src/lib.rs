//! Metrics, histograms and logs of one instance.
//!
//! Histograms carry the customer and the kind of work. The first `CUSTOMERS_MAX` customers after a
//! start get a series each. All later customers share the series `other`, which bounds memory and
//! scrape size.

mod class_metrics;
mod error;
mod gateway_metrics;
mod log;
mod metrics;

pub use class_metrics::{CUSTOMERS_MAX, ClassMetrics};
pub use error::Error;
pub use gateway_metrics::{EndedRequest, GatewayGauges, GatewayMetrics};
pub use log::{LOG_LINES_PER_SECOND_DEFAULT, LogLevel, logger, logger_with_output};
pub use metrics::Metrics;
