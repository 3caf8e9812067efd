/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub enum RetryClass {
    /// A stream that may go on at another endpoint after its last event.
    ResumableStream,
    /// A request that may run more than once.
    Safe,
    /// A stream that runs at most once.
    Stream,
    /// A request that runs at most once.
    Unsafe,
}

impl RetryClass {
    /// Whether a request may run again after it may have run.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Safe)
    }

    /// Name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ResumableStream => "resumable-stream",
            Self::Safe => "safe",
            Self::Stream => "stream",
            Self::Unsafe => "unsafe",
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::Stream)
    }
}
