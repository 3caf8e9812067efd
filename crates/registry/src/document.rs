use control::StateMachine;
use names::LogIndex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// A configuration document as it was accepted.
#[derive(Debug, Clone, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Document {
    /// Content; empty before the first document.
    pub bytes: Vec<u8>,
    /// Version; the highest is in force.
    pub version: u64,
}

/// Replicated register that keeps the document with the highest version.
///
/// A document whose version is not higher changes nothing, so a repeated or overtaken command has
/// no effect, and of two documents with one version the first to be committed stays.
///
/// What it holds is published in the same step in which it is applied: whoever has seen a position
/// applied reads at least the document of that position.
#[derive(Debug)]
pub struct DocumentStateMachine {
    held: Document,
    published: watch::Sender<Document>,
}

impl DocumentStateMachine {
    /// A machine that holds no document and publishes those that it applies.
    #[must_use]
    pub fn new(published: &watch::Sender<Document>) -> Self {
        Self {
            held: Document::default(),
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

    fn take(&mut self, bytes: &[u8]) {
        let document: Document =
            postcard::from_bytes(bytes).expect("committed commands are documents");
        if document.version <= self.held.version {
            return;
        }
        self.held = document;
        // A group that was opened again applies once more what has been published.
        self.published.send_if_modified(|published| {
            let is_newer = self.held.version > published.version;
            if is_newer {
                published.clone_from(&self.held);
            }
            is_newer
        });
    }
}

impl StateMachine for DocumentStateMachine {
    fn apply(&mut self, _index: LogIndex, _at_ms: u64, command: &[u8]) -> Vec<u8> {
        self.take(command);
        Vec::new()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.take(snapshot);
    }

    fn snapshot(&self) -> Vec<u8> {
        Self::encode_command(&self.held)
    }
}
