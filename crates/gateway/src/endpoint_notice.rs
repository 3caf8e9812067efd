/// What one incarnation of an endpoint has said in its responses about further requests.
#[derive(Debug, Default)]
pub struct EndpointNotice {
    is_leaving: bool,
}

impl EndpointNotice {
    /// Records that the endpoint leaves; returns whether it has not said so before.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the endpoint has said that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
