use agreement::Envelope;

/// Network between the instances of a group.
pub trait Transport: Send + Sync + 'static {
    /// Sends a message to the instance `envelope.to`; it may be lost, repeated or reordered.
    ///
    /// Must not block: if a connection is slow, messages are dropped.
    fn send(&self, envelope: Envelope);
}
