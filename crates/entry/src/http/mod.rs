//! HTTP/1.1 to clients through a hyper server and to endpoints through hyper connections.
//!
//! Each attempt at an endpoint uses a connection of its own, which carries one request and is never
//! pooled. This costs one round trip per attempt. In return responses cannot be mixed up, nothing
//! below this crate can send a request twice, and the number of bytes that the kernel accepted is
//! known, which determines the outcome of a failed attempt.

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
