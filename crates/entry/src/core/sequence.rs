use names::GenerationId;

use super::{GenerationStatus, StallTimeouts};
use crate::dependencies::PermitEnd;

/// Time added to the silence timeout until the engine's stream opens.
const OPEN_EXTRA_US: u64 = 1_000_000;

/// One generation on one engine, and the connection that streams its tokens.
#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) connection: ConnectionState,
    pub(super) generation: GenerationId,
    /// Whether the engine has opened a stream for the generation at least once.
    pub(super) has_opened: bool,
    /// Whether it has stalled since its last token.
    pub(super) has_stalled: bool,
    pub(super) received_tokens: u32,
    /// Resumes beside a silent stream since the last token.
    pub(super) silent_resumes: u32,
    last_event_us: u64,
    last_progress_us: u64,
    stall_timeouts: StallTimeouts,
    status: GenerationStatus,
}

/// State of the connection to the engine.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub(super) enum ConnectionState {
    /// Closed; to be opened again at `until_us`.
    Closed { until_us: u64 },
    /// Streaming.
    Open,
    /// Waiting for the engine's stream to begin.
    Opening,
    /// Streaming, but silent; waiting until `until_us` for another stream to begin.
    Reopening { until_us: u64 },
}

impl Sequence {
    pub(super) fn new(
        now_us: u64,
        generation: GenerationId,
        stall_timeouts: StallTimeouts,
    ) -> Self {
        Self {
            connection: ConnectionState::Opening,
            generation,
            has_opened: false,
            has_stalled: false,
            last_event_us: now_us,
            last_progress_us: now_us,
            received_tokens: 0,
            silent_resumes: 0,
            stall_timeouts,
            status: GenerationStatus::Waiting,
        }
    }

    /// Returns when the connection stalls without a further event, or is to be opened again.
    pub(super) fn next_tick_us(&self) -> u64 {
        match self.connection {
            ConnectionState::Closed { until_us } | ConnectionState::Reopening { until_us } => {
                until_us
            }
            ConnectionState::Open => self.stall_us(),
            ConnectionState::Opening => self.last_event_us + self.open_timeout_us(),
        }
    }

    /// Whether the engine's stream is open, be it silent.
    pub(super) fn is_open(&self) -> bool {
        matches!(
            self.connection,
            ConnectionState::Open | ConnectionState::Reopening { .. }
        )
    }

    /// Time within which a stream should begin.
    pub(super) fn open_timeout_us(&self) -> u64 {
        self.stall_timeouts.silence_us + OPEN_EXTRA_US
    }

    pub(super) fn record_status(&mut self, now_us: u64, status: GenerationStatus) {
        self.last_event_us = now_us;
        if self.status != status {
            self.last_progress_us = now_us;
        }
        self.status = status;
    }

    pub(super) fn record_token(&mut self, now_us: u64) {
        self.restart_stall_timeouts(now_us);
        self.has_stalled = false;
        self.silent_resumes = 0;
        self.received_tokens += 1;
        self.status = GenerationStatus::Running;
    }

    /// Sets the state of the connection and restarts its stall timeouts.
    pub(super) fn set_connection(&mut self, now_us: u64, connection: ConnectionState) {
        self.connection = connection;
        self.restart_stall_timeouts(now_us);
    }

    pub(super) fn restart_stall_timeouts(&mut self, now_us: u64) {
        self.last_event_us = now_us;
        self.last_progress_us = now_us;
    }

    /// End of its permit if the call stops it unfinished.
    pub(super) fn unfinished_end(&self) -> PermitEnd {
        if self.has_stalled {
            PermitEnd::Failed
        } else {
            PermitEnd::Cancelled
        }
    }

    fn stall_us(&self) -> u64 {
        let silence_end_us = self.last_event_us + self.stall_timeouts.silence_us;
        match self.status {
            GenerationStatus::Running => {
                silence_end_us.min(self.last_progress_us + self.stall_timeouts.progress_us)
            }
            GenerationStatus::Preempted | GenerationStatus::Prefill | GenerationStatus::Waiting => {
                silence_end_us
            }
        }
    }
}
