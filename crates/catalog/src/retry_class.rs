use serde::{Deserialize, Serialize};

/// Whether requests of a route may be retried, and whether their responses are event streams.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub enum RetryClass {
    /// Stream that can be resumed on another endpoint after the last event received.
    ResumableStream,
    /// Plain request that may run more than once.
    Safe,
    /// Stream that runs at most once.
    Stream,
    /// Plain request that runs at most once.
    Unsafe,
}

impl RetryClass {
    /// Whether a request may be sent again after an attempt that may have run.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Safe)
    }

    /// Label value in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ResumableStream => "resumable-stream",
            Self::Safe => "safe",
            Self::Stream => "stream",
            Self::Unsafe => "unsafe",
        }
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}
