//! Hosts the replicated state: agreement, journal, state machine.
