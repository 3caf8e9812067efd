//! Soak runs of real processes under injected faults; development only.
//!
//! [`Fleet`] starts instances as processes, each behind a [`TcpProxy`] that can block traffic
//! without closing connections. [`run_soak`] compares the responses that clients received with
//! the ledgers of the fake endpoints, and reports violations by [`Promise`].

mod clients;
mod fault_injector;
mod fleet;
mod http_client;
mod operators;
mod promise_report;
mod proxy;
mod soak_run;

pub use fleet::{Fleet, FleetLayout, Instance};
pub use http_client::{HttpClient, HttpResponse};
pub use promise_report::{Promise, PromiseReport};
pub use proxy::TcpProxy;
pub use soak_run::{SoakSettings, run_soak};
