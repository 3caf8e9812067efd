use control::StateMachine;
use names::LogIndex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{Document, SoftwareVersions, VersionChange};

/// Command of the replicated log.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum RegistryCommand {
    /// Changes the software versions.
    ChangeVersions(VersionChange),
    /// Puts a document in force unless its version is not higher.
    PutDocument(Document),
}

/// Replicated state machine that keeps the document with the highest version, and the software
/// versions of the services.
///
/// A document whose version is not higher changes nothing. So a duplicate or late command has no
/// effect, and of two documents with the same version the first committed one stays.
///
/// A change is published in the step that applies it, so a reader that waits for an applied index
/// reads at least the state of that index.
///
/// Commands and snapshots are encoded as a document, which is empty if it does not change, followed by
/// what concerns software versions, if anything. Logs of builds that knew only documents can be read.
#[derive(Debug)]
pub struct RegistryStateMachine {
    document: Document,
    published_document: watch::Sender<Document>,
    published_versions: watch::Sender<SoftwareVersions>,
    versions: SoftwareVersions,
}

impl RegistryCommand {
    /// Encodes the command for the log.
    ///
    /// # Panics
    ///
    /// Panics if memory runs out.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let encoded = match self {
            Self::ChangeVersions(change) => postcard::to_stdvec(&(Document::default(), change)),
            Self::PutDocument(document) => postcard::to_stdvec(document),
        };
        encoded.expect("a command can be encoded")
    }
}

impl RegistryStateMachine {
    /// Creates an empty state machine; applied changes are sent to the publishers.
    #[must_use]
    pub fn new(
        published_document: &watch::Sender<Document>,
        published_versions: &watch::Sender<SoftwareVersions>,
    ) -> Self {
        Self {
            document: Document::default(),
            published_document: published_document.clone(),
            published_versions: published_versions.clone(),
            versions: SoftwareVersions::default(),
        }
    }

    fn apply_document(&mut self, document: Document) {
        if document.version <= self.document.version {
            return;
        }
        self.document = document;
        // A reopened group applies entries again whose documents are already published.
        self.published_document.send_if_modified(|published| {
            let is_newer = self.document.version > published.version;
            if is_newer {
                published.clone_from(&self.document);
            }
            is_newer
        });
    }

    fn publish_versions(&self) {
        self.published_versions.send_replace(self.versions.clone());
    }
}

impl StateMachine for RegistryStateMachine {
    fn apply(&mut self, index: LogIndex, _at_ms: u64, command: &[u8]) -> Vec<u8> {
        let (document, rest) = postcard::take_from_bytes::<Document>(command)
            .expect("committed commands begin with a document");
        self.apply_document(document);
        if !rest.is_empty() {
            let change = postcard::from_bytes(rest).expect("a change of versions follows");
            self.versions.apply(index.0, change);
            self.publish_versions();
        }
        Vec::new()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        let (document, rest) = postcard::take_from_bytes::<Document>(snapshot)
            .expect("snapshots begin with a document");
        self.apply_document(document);
        self.versions = if rest.is_empty() {
            SoftwareVersions::default()
        } else {
            postcard::from_bytes(rest).expect("the software versions follow")
        };
        self.publish_versions();
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&(&self.document, &self.versions)).expect("a snapshot can be encoded")
    }
}
