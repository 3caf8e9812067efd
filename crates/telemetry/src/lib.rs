//! Metrics, histograms and logs of one instance.
//!
//! Histograms carry the customer and the kind of work. The first `CUSTOMERS_MAX` customers seen
//! after a start get series of their own, all later ones share the series `other`, so that memory
//! and scrape size stay bounded.

mod class;
mod error;
mod log;
mod metrics;
mod serving;

pub use class::{CUSTOMERS_MAX, Class};
pub use error::Error;
pub use log::{LINES_PER_SECOND_DEFAULT, Level, logger, logger_to};
pub use metrics::Metrics;
pub use serving::{Beliefs, EndedRequest, ServingMetrics};
