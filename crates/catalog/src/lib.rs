//! Routes, services, limits and customers of one configuration document.
//!
//! A [`Draft`] is what a document says. [`Catalog::build`] checks it as a whole and sorts it for
//! lookups by host and path and by key; a document that breaks any rule gives no catalog.

mod catalog;
mod customer;
mod draft;
mod error;
mod repeat;
mod route;
mod service;

pub use catalog::{Access, Catalog, Denial};
pub use customer::Customer;
pub use draft::{Draft, Limits};
pub use error::Error;
pub use repeat::Repeat;
pub use route::{Route, Target};
pub use service::{Engine, Service};
