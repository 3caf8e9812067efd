//! Routes, services, limits and customers of one configuration document.
//!
//! [`Catalog::build`] validates an [`UncheckedDocument`] and indexes it for lookups of routes by
//! host and path, and of customers by API key. A document that breaks any rule is rejected as a
//! whole. A [`CatalogChange`] is the difference between two catalogs, so that a small change of a large
//! document stays small on its way to each instance.

mod catalog;
mod catalog_change;
mod customer;
mod error;
mod retry_class;
mod route;
mod service;
mod unchecked_document;

pub use catalog::{Authorization, Catalog, LookupError};
pub use catalog_change::CatalogChange;
pub use customer::{Customer, KeyOwner};
pub use error::Error;
pub use retry_class::RetryClass;
pub use route::{Route, WeightedService};
pub use service::{EngineSpec, Service};
pub use unchecked_document::{Limits, UncheckedDocument};
