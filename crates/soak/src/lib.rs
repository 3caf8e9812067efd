//! Long runs of real processes under faults; development only.
//!
//! [`Fleet`] starts instances as processes, each behind a [`TcpProxy`] that can silently stop passing
//! bytes. The run compares what callers saw with what the fakes ran, promise by promise.

mod callers;
mod chaos;
mod fleet;
mod http;
mod operators;
mod promises;
mod proxy;
mod run;

pub use fleet::{Fleet, FleetLayout, Instance};
pub use http::{HttpClient, HttpResponse};
pub use promises::{Promise, PromiseReport};
pub use proxy::TcpProxy;
pub use run::{SoakSettings, run_soak};
