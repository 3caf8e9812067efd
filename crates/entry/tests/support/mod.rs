//! Small fakes of everything around an entry, on ports that the kernel gives.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod caller;
mod endpoint;
mod neighbours;

pub use caller::{Answer, Caller};
pub use endpoint::{Endpoint, Seen, Wire, generation_of};
pub use neighbours::Setup;

/// Event line of an engine.
pub fn token(generation: &str, index: u32, text: &str) -> String {
    let text = serde_json::Value::from(text);
    format!("data: {{\"generation\":\"{generation}\",\"index\":{index},\"text\":{text}}}\n\n")
}

/// Last event line of an engine.
pub fn end(generation: &str, tokens: u32) -> String {
    format!("data: {{\"generation\":\"{generation}\",\"end\":\"stop\",\"tokens\":{tokens}}}\n\n")
}

/// Status line of an engine.
pub fn status(generation: &str, status: &str) -> String {
    format!("data: {{\"generation\":\"{generation}\",\"status\":\"{status}\"}}\n\n")
}
