use agreement::Envelope;

/// Network between the instances that hold the replicated state.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message to the instance that it names; it may be lost, repeated or reordered.
    ///
    /// Must not block: where a connection is slow, messages are dropped.
    fn send(&self, envelope: Envelope);
}
