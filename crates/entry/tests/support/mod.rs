//! Fakes of the endpoints and dependencies of an entry, on ports that the kernel assigns.
#![allow(
    dead_code,
    unused_imports,
    reason = "no test file uses every fake of this module"
)]

mod engine_scripts;
mod fake_backend;
mod fake_endpoint;
mod test_client;

pub use engine_scripts::{respond_to_cancel, resume_index, stream_five_tokens, stream_tokens_from};
pub use fake_backend::EntryBuilder;
pub use fake_endpoint::{FakeEndpoint, ReceivedRequest, ServerConnection, generation_id};
pub use test_client::{Response, TestClient};

/// Event of an engine's stream that ends the generation.
pub fn end_event(generation: &str, tokens: u32) -> String {
    format!("data: {{\"generation\":\"{generation}\",\"end\":\"stop\",\"tokens\":{tokens}}}\n\n")
}

/// Event of an engine's stream that reports the status of the generation.
pub fn status_event(generation: &str, status: &str) -> String {
    format!("data: {{\"generation\":\"{generation}\",\"status\":\"{status}\"}}\n\n")
}

/// Event of an engine's stream that carries one token.
pub fn token_event(generation: &str, index: u32, text: &str) -> String {
    let text = serde_json::Value::from(text);
    format!("data: {{\"generation\":\"{generation}\",\"index\":{index},\"text\":{text}}}\n\n")
}
