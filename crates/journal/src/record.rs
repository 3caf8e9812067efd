use serde::{Deserialize, Serialize};

/// Entry of a group's replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Group that the entry belongs to.
    pub group: u32,
    /// Index in the group's log; replaces the entry at that index and all later ones.
    pub index: u64,
    /// Encoded entry; opaque to the journal.
    pub payload: Vec<u8>,
    /// Term in which the entry was proposed.
    pub term: u64,
}

/// State of a group besides its log; replaces the group's earlier state.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateRecord {
    /// Group that the state belongs to.
    pub group: u32,
    /// Encoded state; opaque to the journal.
    pub payload: Vec<u8>,
}

/// Record that is appended to the journal.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Discards all earlier entries of a group, because a snapshot replaces them.
    Discard {
        /// Number of the group.
        group: u32,
    },
    /// Entry of a group's log.
    Entry(EntryRecord),
    /// New state of a group.
    State(StateRecord),
}
