use std::fmt::Debug;

use catalog::Catalog;
use control::StateMachine;
use names::LogIndex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Configuration document with its version, as accepted from an operator.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Encoded document; empty before the first one is accepted.
    pub bytes: Vec<u8>,
    /// Version; the document with the highest version is in force.
    pub version: u64,
}

/// Decodes configuration documents in the operators' format.
pub trait DocumentDecoder: Debug + Send + Sync {
    /// Decodes and validates a document.
    ///
    /// # Errors
    ///
    /// Describes why the document gives no catalog.
    fn decode(&self, bytes: &[u8]) -> Result<Catalog, String>;
}

/// Replicated state machine that keeps the document with the highest version.
///
/// A document whose version is not higher changes nothing. So a duplicate or late command has no
/// effect, and of two documents with the same version the first committed one stays.
///
/// A document is published in the step that applies it, so a reader that waits for an applied index
/// reads at least the document of that index.
#[derive(Debug)]
pub struct DocumentStateMachine {
    current: Document,
    published: watch::Sender<Document>,
}

impl DocumentStateMachine {
    /// Creates a state machine without a document; applied documents are sent to `published`.
    #[must_use]
    pub fn new(published: &watch::Sender<Document>) -> Self {
        Self {
            current: Document::default(),
            published: published.clone(),
        }
    }

    /// Encodes a document as a command.
    ///
    /// # Panics
    ///
    /// Panics if memory runs out.
    #[must_use]
    pub fn encode_command(document: &Document) -> Vec<u8> {
        postcard::to_stdvec(document).expect("a document can be encoded")
    }

    fn apply_document(&mut self, bytes: &[u8]) {
        let document: Document =
            postcard::from_bytes(bytes).expect("committed commands are documents");
        if document.version <= self.current.version {
            return;
        }
        self.current = document;
        // A reopened group applies entries again whose documents are already published.
        self.published.send_if_modified(|published| {
            let is_newer = self.current.version > published.version;
            if is_newer {
                published.clone_from(&self.current);
            }
            is_newer
        });
    }
}

impl StateMachine for DocumentStateMachine {
    fn apply(&mut self, _index: LogIndex, _at_ms: u64, command: &[u8]) -> Vec<u8> {
        self.apply_document(command);
        Vec::new()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.apply_document(snapshot);
    }

    fn snapshot(&self) -> Vec<u8> {
        Self::encode_command(&self.current)
    }
}
