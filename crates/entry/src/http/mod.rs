//! The wire on both sides: callers through a hyper server, endpoints through hyper connections.
//!
//! Each attempt at an endpoint has a connection of its own, which carries one request and is never
//! pooled. That costs one round trip an attempt. In return no answer can be crossed with another,
//! nothing below this crate can send a request twice, and the bytes that the kernel took are known,
//! from which the outcome of a failed attempt follows.

mod answer;
mod attempts;
mod body;
mod caller;
mod clock;
mod event_reader;
mod exchange;
mod generation;
mod headers;
mod io;
mod link;
mod measures;
mod openai;
mod problem;
mod prompt;
mod routes;
mod service;
mod service_route;
mod shape;
mod shared;

pub(crate) use io::GuardedStream;
pub(crate) use routes::serve;
pub(crate) use shared::Shared;
