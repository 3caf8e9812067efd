use names::LogIndex;

/// Replicated state, changed by committed commands.
///
/// Must be deterministic: equal commands in equal order give equal state and responses on every
/// instance.
pub trait StateMachine: Send + 'static {
    /// Applies a committed command and returns its response.
    ///
    /// `timestamp_ms` is the leader's wall-clock time of the command, in ms since the Unix epoch.
    /// It never decreases.
    fn apply(&mut self, index: LogIndex, timestamp_ms: u64, command: &[u8]) -> Vec<u8>;

    /// Replaces the state by a snapshot taken on this or another instance.
    fn restore(&mut self, snapshot: &[u8]);

    /// Encodes the whole state for [`StateMachine::restore`].
    fn snapshot(&self) -> Vec<u8>;
}
