use serde::{Deserialize, Serialize};

/// One position of a group's log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Group that the entry belongs to.
    pub group: u32,
    /// Position in the group's log; replaces that position and everything after it.
    pub index: u64,
    /// Content.
    pub payload: Vec<u8>,
    /// Term of the entry.
    pub term: u64,
}

/// State of a group that replaces its earlier state.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct StateRecord {
    /// Group that the state belongs to.
    pub group: u32,
    /// Content.
    pub payload: Vec<u8>,
}

/// A record of the journal.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum Record {
    /// Drops every entry of a group so far, which a snapshot has replaced.
    Discard {
        /// The group.
        group: u32,
    },
    /// A position of a group's log.
    Entry(EntryRecord),
    /// State of a group.
    State(StateRecord),
}
