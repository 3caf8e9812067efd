use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

/// A fault that a fake server injects. The `u32` of a variant is the index of the affected token.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Breaks the connection before the token.
    Cut(u32),
    /// Stops the server: closes all connections and ends its announcements.
    Die,
    /// Sends the token twice.
    DuplicateToken(u32),
    /// Runs the call, then answers with status 500.
    FailAfterRun,
    /// Accepts orders with an old fencing number.
    IgnoreFencing,
    /// Announces that the endpoint takes no new work, and in how many milliseconds it is reclaimed.
    Leaving(Option<u64>),
    /// Runs the call, then closes the connection without a response.
    LoseAnswer,
    /// Drops an update of the prefix cache, which leaves a gap in the sequence of updates.
    LoseCacheNews,
    /// Sends an event with invalid JSON instead of the token.
    MalformedEvent(u32),
    /// Rejects new calls without running them.
    Refuse,
    /// Sends no announcements; calls are answered normally.
    Silence,
    /// Sends no responses and no tokens; connections stay open.
    Stall,
    /// Closes the stream normally before the token, without an `end` event.
    Truncate(u32),
    /// Sends the token with the id of another generation.
    WrongId(u32),
    /// Skips the token.
    WrongIndex(u32),
}

/// Body of `PUT /fault`.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultRequest {
    /// The fault to inject; none ends the current fault.
    pub fault: Option<Fault>,
    /// Number of calls that the fault affects; none affects all.
    pub times: Option<u32>,
}

/// The fault that a server injects now, shared between the server and its handle.
#[derive(Debug, Clone, Default)]
pub struct FaultInjector(Arc<Mutex<FaultRequest>>);

impl FaultInjector {
    /// The fault that is injected now.
    #[must_use]
    pub fn current(&self) -> Option<Fault> {
        self.lock().fault
    }

    /// Replaces or ends the current fault.
    pub fn set(&self, request: FaultRequest) {
        *self.lock() = request;
    }

    /// Returns the current fault and counts one use of it, if `applies` returns true for it.
    pub(crate) fn consume(&self, applies: impl Fn(Fault) -> bool) -> Option<Fault> {
        let mut request = self.lock();
        let fault = request.fault.filter(|fault| applies(*fault))?;
        if let Some(times) = &mut request.times {
            *times = times.saturating_sub(1);
            if *times == 0 {
                *request = FaultRequest::default();
            }
        }
        Some(fault)
    }

    fn lock(&self) -> MutexGuard<'_, FaultRequest> {
        self.0
            .lock()
            .expect("no thread panics with the fault locked")
    }
}
