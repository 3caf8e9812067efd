/// Whether a call may reach an endpoint more than once.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum RetryPolicy {
    /// At most once, under a claim on the caller's key.
    Claimed,
    /// As often as needed.
    Repeatable,
    /// Sent once at most; nothing is repeated.
    SendOnce,
}

impl RetryPolicy {
    /// Follows from whether the route may be repeated and from whether the caller gave a key.
    #[must_use]
    pub fn new(is_repeatable: bool, has_key: bool) -> Self {
        match (is_repeatable, has_key) {
            (true, _) => Self::Repeatable,
            (false, true) => Self::Claimed,
            (false, false) => Self::SendOnce,
        }
    }

    /// Whether a method may be repeated where its route says nothing.
    #[must_use]
    pub fn is_repeatable(method: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "OPTIONS")
    }
}
