/// Whether a call of a plain service may be sent to an endpoint more than once.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The call runs at most once, under a claim on the client's idempotency key.
    Claimed,
    /// The call may run any number of times.
    Repeatable,
    /// The call is sent at most once.
    SendOnce,
}

impl RetryPolicy {
    /// Chooses the policy of a call by its route and by whether the client sent an idempotency key.
    #[must_use]
    pub fn new(is_repeatable: bool, has_key: bool) -> Self {
        match (is_repeatable, has_key) {
            (true, _) => Self::Repeatable,
            (false, true) => Self::Claimed,
            (false, false) => Self::SendOnce,
        }
    }

    /// Whether calls of an HTTP method may be repeated if their route does not decide it.
    #[must_use]
    pub fn is_repeatable(method: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "OPTIONS")
    }
}
