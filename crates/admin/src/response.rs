use serde_json::Value;

/// HTTP response of the admin interface.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Response {
    /// Body as text.
    pub body: String,
    /// Entity tag, if the response has one.
    pub entity_tag: Option<String>,
    /// HTTP status.
    pub status: u16,
}

impl Response {
    /// Whether the request succeeded.
    #[must_use]
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// The body as JSON, or as a JSON string if it is not JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_else(|_| Value::String(self.body.clone()))
    }

    pub(crate) fn is_retryable(&self) -> bool {
        matches!(self.status, 503 | 504)
    }
}
