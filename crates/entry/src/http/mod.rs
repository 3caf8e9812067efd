//! The wire on both sides: callers through a hyper server, endpoints through hyper connections.
//!
//! Each attempt at an endpoint has a connection of its own, which carries one request and is never
//! pooled. That costs one round trip an attempt. In return no answer can be crossed with another,
//! nothing below this crate can send a request twice, and the bytes that the kernel took are known,
//! from which the outcome of a failed attempt follows.

mod body;
mod clock;
mod completion_encoder;
mod engine_stream;
mod event_reader;
mod exchange;
mod generation;
mod generation_response;
mod headers;
mod io;
mod openai;
mod problem;
mod prompt;
mod request_metrics;
mod response_sender;
mod retry_state;
mod routes;
mod service;
mod service_route;
mod shared_state;

pub(crate) use io::WriteTimeoutStream;
pub(crate) use routes::serve;
pub(crate) use shared_state::SharedState;
