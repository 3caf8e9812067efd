use hyper::StatusCode;

/// Outcome of a client's request, as logged and counted.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The endpoint's response was forwarded.
    Answered,
    /// The client closed the connection.
    ClientLeft,
    /// The request may have run, and no complete response arrived.
    Failed,
    /// The head or body violates the limits.
    Malformed,
    /// The request has not run.
    Refused,
    /// The request timed out.
    TimedOut,
    /// No customer has the API key.
    UnknownKey,
    /// No route matches.
    UnknownRoute,
}

impl Outcome {
    /// Label value in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::ClientLeft => "client-left",
            Self::Failed => "failed",
            Self::Malformed => "malformed",
            Self::Refused => "refused",
            Self::TimedOut => "timed-out",
            Self::UnknownKey => "unknown-key",
            Self::UnknownRoute => "unknown-route",
        }
    }
}

/// Error with which the gateway itself answers a request.
#[derive(Debug, Clone)]
pub(crate) struct RequestError {
    /// Id of the last endpoint that the request was sent to.
    pub(crate) endpoint_id: Option<String>,
    pub(crate) outcome: Outcome,
    /// Reason for the log; the client does not see it.
    pub(crate) reason: String,
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) status: StatusCode,
}

impl RequestError {
    pub(crate) fn new(outcome: Outcome, status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            endpoint_id: None,
            outcome,
            reason: reason.into(),
            retry_after_ms: None,
            status,
        }
    }

    /// The request has not run and never will; the client may retry after the given time.
    pub(crate) fn not_run(reason: impl Into<String>, retry_after_ms: u64) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..Self::new(Outcome::Refused, StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// The request may have run.
    pub(crate) fn failed(reason: impl Into<String>) -> Self {
        Self::new(Outcome::Failed, StatusCode::BAD_GATEWAY, reason)
    }

    pub(crate) fn timed_out(reason: impl Into<String>) -> Self {
        Self::new(Outcome::TimedOut, StatusCode::GATEWAY_TIMEOUT, reason)
    }
}
