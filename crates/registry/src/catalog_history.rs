//! Recent versions of the catalog, and the changes between them that subscribers read.
//!
//! A subscriber that reads a change goes on with it although a newer version is accepted meanwhile, so
//! that each reading ends. The change between two versions is the same at all registries, so another
//! registry can continue it.

use std::sync::Arc;

use catalog::Catalog;
use slog::{Logger, warn};

use crate::rpc::{ChangeChunk, ChangePosition};
use crate::{Document, DocumentDecoder};

/// Versions that subscribers may have in force or read; 25 s at the target of 110,000 changes a day.
const VERSIONS_MAX: usize = 32;

/// Encoded changes that are kept. Subscribers mostly read the same ones, and others are encoded again.
const ENCODED_CHANGES_MAX: usize = 4;

/// Largest chunk of a change: 105 ms on a link of 10 Mbit/s.
const CHUNK_BYTES: usize = 128 * 1024;

/// Recent catalogs of a registry.
#[derive(Debug)]
pub struct CatalogHistory {
    /// Sorted by version.
    catalogs: Vec<Arc<Catalog>>,
    decoder: Arc<dyn DocumentDecoder>,
    /// Least recently used first.
    encoded_changes: Vec<EncodedChange>,
    log: Logger,
}

#[derive(Debug)]
struct EncodedChange {
    base_version: u64,
    bytes: Vec<u8>,
    version: u64,
}

impl CatalogHistory {
    /// Creates an empty history.
    #[must_use]
    pub fn new(decoder: Arc<dyn DocumentDecoder>, log: &Logger) -> Self {
        Self {
            catalogs: Vec::new(),
            decoder,
            encoded_changes: Vec::new(),
            log: log.clone(),
        }
    }

    /// Adds a document unless it is known or older than the newest one.
    pub fn add(&mut self, document: &Document) {
        let latest = self.catalogs.last();
        if document.version <= latest.map_or(0, |latest| latest.version()) {
            return;
        }
        let catalog = match self.decoder.decode(&document.bytes) {
            Ok(catalog) => catalog,
            Err(error) => {
                warn!(self.log, "document not decoded"; "version" => document.version,
                    "error" => error);
                return;
            }
        };
        let catalog = match latest {
            Some(latest) => catalog.share_items_with(latest),
            None => catalog,
        };
        self.catalogs.push(Arc::new(catalog));
        if self.catalogs.len() > VERSIONS_MAX {
            self.catalogs.remove(0);
        }
    }

    /// Chunk of the change that a subscriber reads. If this registry cannot continue it, the first chunk
    /// of the change to the newest version; `None` without a catalog.
    pub fn read(&mut self, position: ChangePosition) -> Option<ChangeChunk> {
        let latest_version = self.catalogs.last()?.version();
        let is_base_known =
            position.base_version == 0 || self.find(position.base_version).is_some();
        let can_continue = is_base_known && self.find(position.version).is_some();
        let (version, first_byte) = if can_continue {
            (position.version, position.first_byte)
        } else {
            (latest_version, 0)
        };
        let base_version = if is_base_known && position.base_version < version {
            position.base_version
        } else {
            0
        };
        let change = self.encoded_change(base_version, version)?;
        let first_byte = usize::try_from(first_byte).unwrap_or(usize::MAX);
        let first_byte = first_byte.min(change.bytes.len());
        let rest = &change.bytes[first_byte..];
        Some(ChangeChunk {
            base_version,
            bytes: rest[..rest.len().min(CHUNK_BYTES)].to_vec(),
            change_bytes: change.bytes.len() as u64,
            first_byte: first_byte as u64,
            version,
        })
    }

    fn encoded_change(&mut self, base_version: u64, version: u64) -> Option<&EncodedChange> {
        let mut encoded = self.encoded_changes.iter();
        let found = encoded
            .position(|change| (change.base_version, change.version) == (base_version, version));
        let change = if let Some(at) = found {
            self.encoded_changes.remove(at)
        } else {
            let base = self.find(base_version).map(AsRef::as_ref);
            let change = self.find(version)?.changes_since(base);
            EncodedChange {
                base_version,
                bytes: postcard::to_stdvec(&change).expect("a change can be encoded"),
                version,
            }
        };
        if self.encoded_changes.len() >= ENCODED_CHANGES_MAX {
            self.encoded_changes.remove(0);
        }
        self.encoded_changes.push(change);
        self.encoded_changes.last()
    }

    fn find(&self, version: u64) -> Option<&Arc<Catalog>> {
        let found = self
            .catalogs
            .binary_search_by_key(&version, |catalog| catalog.version());
        found.ok().map(|at| &self.catalogs[at])
    }
}
