use names::GenerationId;

use super::{GenerationStatus, StallTimeouts};

/// Extra silence allowed before the engine's stream opens.
const OPEN_EXTRA_US: u64 = 1_000_000;

/// One generation on one engine.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) generation: GenerationId,
    pub(super) connection: ConnectionState,
    /// Whether the engine ever answered with a stream.
    pub(super) opened: bool,
    /// Tokens received.
    pub(super) received: u32,
    heard_us: u64,
    stall_timeouts: StallTimeouts,
    progress_us: u64,
    status: GenerationStatus,
}

/// State of the link to the engine.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(super) enum ConnectionState {
    /// Closed; opened again at a time.
    Closed { until_us: u64 },
    /// Streaming.
    Open,
    /// Being opened.
    Opening,
}

impl Sequence {
    pub(super) fn new(
        now_us: u64,
        generation: GenerationId,
        stall_timeouts: StallTimeouts,
    ) -> Self {
        Self {
            generation,
            heard_us: now_us,
            connection: ConnectionState::Opening,
            opened: false,
            stall_timeouts,
            progress_us: now_us,
            received: 0,
            status: GenerationStatus::Waiting,
        }
    }

    /// Sets the state of the link and starts the watch over its silence anew.
    pub(super) fn set_connection(&mut self, now_us: u64, connection: ConnectionState) {
        self.connection = connection;
        self.heard_us = now_us;
        self.progress_us = now_us;
    }

    /// Takes a status.
    pub(super) fn set_status(&mut self, now_us: u64, status: GenerationStatus) {
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
        self.status = GenerationStatus::Running;
    }

    /// When the link counts as stalled if nothing more comes, or is to be opened again.
    pub(super) fn wake_us(&self) -> u64 {
        match self.connection {
            ConnectionState::Closed { until_us } => until_us,
            ConnectionState::Open => self.stall_us(),
            ConnectionState::Opening => {
                self.heard_us + self.stall_timeouts.silence_us + OPEN_EXTRA_US
            }
        }
    }

    fn stall_us(&self) -> u64 {
        let silent_us = self.heard_us + self.stall_timeouts.silence_us;
        match self.status {
            GenerationStatus::Running => {
                silent_us.min(self.progress_us + self.stall_timeouts.progress_us)
            }
            GenerationStatus::Preempted | GenerationStatus::Prefill | GenerationStatus::Waiting => {
                silent_us
            }
        }
    }
}
