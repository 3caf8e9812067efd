use names::GenerationId;

use super::{Patience, Status};

/// Extra silence allowed before the engine's stream opens.
const OPEN_EXTRA_US: u64 = 1_000_000;

/// One generation on one engine.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) generation: GenerationId,
    pub(super) link: Link,
    /// Whether the engine ever answered with a stream.
    pub(super) opened: bool,
    /// Tokens received.
    pub(super) received: u32,
    heard_us: u64,
    patience: Patience,
    progress_us: u64,
    status: Status,
}

/// State of the link to the engine.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(super) enum Link {
    /// Closed; opened again at a time.
    Closed { until_us: u64 },
    /// Streaming.
    Open,
    /// Being opened.
    Opening,
}

impl Run {
    pub(super) fn new(now_us: u64, generation: GenerationId, patience: Patience) -> Self {
        Self {
            generation,
            heard_us: now_us,
            link: Link::Opening,
            opened: false,
            patience,
            progress_us: now_us,
            received: 0,
            status: Status::Waiting,
        }
    }

    /// Sets the state of the link and starts the watch over its silence anew.
    pub(super) fn set_link(&mut self, now_us: u64, link: Link) {
        self.link = link;
        self.heard_us = now_us;
        self.progress_us = now_us;
    }

    /// Takes a status.
    pub(super) fn set_status(&mut self, now_us: u64, status: Status) {
        self.heard_us = now_us;
        if self.status != status {
            self.progress_us = now_us;
        }
        self.status = status;
    }

    /// Takes a token.
    pub(super) fn set_token(&mut self, now_us: u64) {
        self.heard_us = now_us;
        self.progress_us = now_us;
        self.received += 1;
        self.status = Status::Running;
    }

    /// When the link counts as stalled if nothing more comes, or is to be opened again.
    pub(super) fn wake_us(&self) -> u64 {
        match self.link {
            Link::Closed { until_us } => until_us,
            Link::Open => self.stall_us(),
            Link::Opening => self.heard_us + self.patience.silence_us + OPEN_EXTRA_US,
        }
    }

    fn stall_us(&self) -> u64 {
        let silent_us = self.heard_us + self.patience.silence_us;
        match self.status {
            Status::Running => silent_us.min(self.progress_us + self.patience.progress_us),
            Status::Preempted | Status::Prefill | Status::Waiting => silent_us,
        }
    }
}
