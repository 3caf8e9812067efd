//! Routes, services, limits and customers of one configuration document.
//!
//! A [`UncheckedDocument`] is what a document says. [`Catalog::build`] checks it as a whole and sorts it for
//! lookups by host and path and by key; a document that breaks any rule gives no catalog.

mod catalog;
mod customer;
mod error;
mod retry_class;
mod route;
mod service;
mod unchecked_document;

pub use catalog::{Authorization, Catalog, LookupError};
pub use customer::Customer;
pub use error::Error;
pub use retry_class::RetryClass;
pub use route::{Route, WeightedService};
pub use service::{EngineSpec, Service};
pub use unchecked_document::{Limits, UncheckedDocument};
