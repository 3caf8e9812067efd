//! Room on an endpoint, and what its request does to the load there.

use std::sync::Arc;

use placement::Load;

use super::Fleet;
use crate::endpoint::Endpoint;

/// Room on an endpoint, given back when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) endpoint: Arc<Endpoint>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) load: Load,
}

impl Drop for Slot {
    fn drop(&mut self) {
        {
            let mut own = self.endpoint.own();
            own.load = own.load.saturating_sub(&self.load);
        }
        self.fleet.serve_waiting();
    }
}

impl Slot {
    /// The prompt has been read.
    pub(crate) fn note_first_event(&mut self) {
        let read = std::mem::take(&mut self.load.prefill_tokens);
        self.endpoint.own().load.prefill_tokens -= read;
    }

    /// The memory of the run that moves has been copied.
    pub(crate) fn note_copied(&mut self) {
        let copied = std::mem::take(&mut self.load.kv_copy_tokens);
        self.endpoint.own().load.kv_copy_tokens -= copied;
    }

    /// Corrects the prediction of the tokens held at the end.
    pub(crate) fn predict(&mut self, tokens: u64) {
        let mut own = self.endpoint.own();
        own.load.predicted_tokens = own.load.predicted_tokens - self.load.predicted_tokens + tokens;
        self.load.predicted_tokens = tokens;
    }
}
