//! Attempt to continue a stream at another endpoint, while the stream's own endpoint may go on.

use std::future::pending;

use super::migration::UsedCopy;
use crate::attempt::{AttemptEnd, PendingAttempt};

/// Attempt to continue a stream elsewhere, if one is pending.
pub(super) struct Continuation {
    pub(super) attempt: PendingAttempt,
    /// KV cache copy that it continues from; `None` if the stream is requested again.
    pub(super) copy: Option<UsedCopy>,
    /// Reason for the log.
    pub(super) reason: String,
}

impl Continuation {
    /// Waits for the end of a pending attempt. The future may be dropped and requested again.
    pub(super) async fn end(pending_continuation: &mut Option<Self>) -> AttemptEnd {
        match pending_continuation {
            Some(continuation) => continuation.attempt.end().await,
            None => pending().await,
        }
    }
}
