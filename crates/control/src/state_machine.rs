use names::LogIndex;

/// Replicated state that committed commands change.
///
/// Equal commands in equal order must give equal state and answers on every instance.
pub trait StateMachine: Send + 'static {
    /// Applies a committed command and gives its answer.
    ///
    /// `at_ms` is the leader's wall-clock time of the command, in ms since the Unix epoch; it
    /// never decreases.
    fn apply(&mut self, index: LogIndex, at_ms: u64, command: &[u8]) -> Vec<u8>;

    /// Replaces the state by a snapshot that another instance, or this one, has made.
    fn restore(&mut self, snapshot: &[u8]);

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;
}
