use serde_json::Value;

/// Answer of the interface.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Response {
    /// Body as text.
    pub body: String,
    /// Entity tag, where the answer has one.
    pub entity_tag: Option<String>,
    /// HTTP status.
    pub status: u16,
}

impl Response {
    /// Whether the call was done.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as JSON; a string where it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| Value::String(self.body.clone()))
    }

    pub(crate) fn is_worth_repeating(&self) -> bool {
        matches!(self.status, 503 | 504)
    }
}
