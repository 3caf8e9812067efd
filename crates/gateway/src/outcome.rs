use hyper::StatusCode;

/// How a request ended, for the log.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(crate) enum Outcome {
    /// The endpoint's answer was passed on.
    Answered,
    /// The client left.
    ClientLeft,
    /// It may have run, and no whole answer came.
    Failed,
    /// The head or body is not as the limits allow.
    Malformed,
    /// It has not run.
    Refused,
    /// Its time was over.
    TimedOut,
    /// No customer holds the key.
    UnknownKey,
    /// No route fits.
    UnknownRoute,
}

impl Outcome {
    /// Name in metrics.
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

/// Why this instance ends a request with an answer of its own.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// Last endpoint that had the request, by id.
    pub(crate) endpoint: Option<String>,
    pub(crate) outcome: Outcome,
    pub(crate) reason: String,
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) status: StatusCode,
}

impl Refusal {
    pub(crate) fn new(outcome: Outcome, status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            endpoint: None,
            outcome,
            reason: reason.into(),
            retry_after_ms: None,
            status,
        }
    }

    /// The request has not run and never will; the client may return after a time.
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
