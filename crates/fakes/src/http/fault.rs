use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};

/// A rule that a fake breaks; numbers are the index of the token that is hit.
#[derive(Debug, Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Breaks the connection before the token.
    Cut(u32),
    /// Ends the server: all connections close, nothing is announced any more.
    Die,
    /// Sends the token twice.
    DuplicateToken(u32),
    /// Runs the call, then answers 500.
    FailAfterRun,
    /// Takes orders with an old fencing number.
    IgnoreFencing,
    /// Announces that it takes no new work, and when it will be taken away, in milliseconds.
    Leaving(Option<u64>),
    /// Runs the call, then closes the connection without an answer.
    LoseAnswer,
    /// Leaves a gap in the news of the prefix cache.
    LoseCacheNews,
    /// Sends a broken event in place of the token.
    MalformedEvent(u32),
    /// Refuses new calls without running them.
    Refuse,
    /// Announces nothing; calls are answered as before.
    Silence,
    /// Answers nothing more and sends no more tokens; connections stay open.
    Stall,
    /// Ends the stream in order, but without `end`, before the token.
    Truncate(u32),
    /// Sends the token under the number of another generation.
    WrongId(u32),
    /// Leaves the token out.
    WrongIndex(u32),
}

/// Body of `PUT /fault`.
#[derive(Debug, Clone, Copy, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FaultRequest {
    /// The fault; none ends the current one.
    pub fault: Option<Fault>,
    /// How many calls it hits; all without it.
    pub times: Option<u32>,
}

/// The fault in force, shared between a server and its handle.
#[derive(Debug, Clone, Default)]
pub struct FaultInjector(Arc<Mutex<FaultRequest>>);

impl FaultInjector {
    /// The fault in force.
    #[must_use]
    pub fn current(&self) -> Option<Fault> {
        self.lock().fault
    }

    /// Sets or ends the fault.
    pub fn set(&self, order: FaultRequest) {
        *self.lock() = order;
    }

    /// Consumes one use of the fault in force if `applies` holds for it.
    pub(crate) fn take(&self, applies: impl Fn(Fault) -> bool) -> Option<Fault> {
        let mut order = self.lock();
        let fault = order.fault.filter(|fault| applies(*fault))?;
        if let Some(times) = &mut order.times {
            *times = times.saturating_sub(1);
            if *times == 0 {
                *order = FaultRequest::default();
            }
        }
        Some(fault)
    }

    fn lock(&self) -> MutexGuard<'_, FaultRequest> {
        self.0.lock().expect("no holder of the fault panics")
    }
}
