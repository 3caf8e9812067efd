//! Reads what a newer document changes, from one registry at a time.
//!
//! The answers to polls tell only the version of the registry's document. The first one that tells
//! a newer version starts to read the change from the version in force, in chunks, so that a registry
//! which no longer answers is noticed within the time of one chunk. The next registry continues where
//! the one before ended. A change that is being read is read to its end although newer documents are
//! accepted; their changes follow. A connection of its own carries the chunks, so polls are answered
//! while a slow link transfers them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catalog::{Catalog, CatalogChange};
use slog::{debug, info, warn};
use tokio::time::sleep;

use super::{RETRY_DELAY_MS, Subscriber, SubscriberState};
use crate::Error;
use crate::connection::{RpcConnection, call_context};
use crate::rpc::{ChangeChunk, ChangePosition, PollAnswer};

/// Time limit for one chunk: it takes 105 ms on an idle link of 10 Mbit/s, but others use it too.
const CHUNK_TIMEOUT_MS: u64 = 600;

/// Consecutive failures after each of which the time limit is doubled, for links that are slower.
const TIMEOUT_DOUBLINGS_MAX: u32 = 3;

/// Part of an encoded change that has been read.
#[derive(Debug, Default)]
struct PartialChange {
    base_version: u64,
    bytes: Vec<u8>,
    /// Length of the whole change.
    change_bytes: u64,
    version: u64,
}

impl PartialChange {
    /// Appends a chunk, or begins with it if it belongs to another change; returns whether it brings
    /// anything.
    fn append(&mut self, chunk: &ChangeChunk) -> bool {
        if (chunk.base_version, chunk.version) != (self.base_version, self.version) {
            *self = Self {
                base_version: chunk.base_version,
                bytes: Vec::new(),
                change_bytes: chunk.change_bytes,
                version: chunk.version,
            };
        }
        let is_next = chunk.first_byte == self.length();
        if is_next {
            self.bytes.extend_from_slice(&chunk.bytes);
        }
        is_next && (self.is_complete() || !chunk.bytes.is_empty())
    }

    fn is_complete(&self) -> bool {
        self.length() >= self.change_bytes
    }

    fn length(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Position of the next byte; the start of the newest change from a version before the first one.
    fn next_position(&self, version_in_force: u64) -> ChangePosition {
        let base_version = if self.version == 0 {
            version_in_force
        } else {
            self.base_version
        };
        ChangePosition {
            base_version,
            first_byte: self.length(),
            version: self.version,
        }
    }
}

impl Subscriber {
    /// Applies what an answer says of the registry's document: renews the lease if it confirms that
    /// the document in force is the newest, and starts to read a newer one.
    pub(super) fn apply_document_version(
        self: &Arc<Self>,
        state: &mut SubscriberState,
        registry: SocketAddr,
        requested_at_ms: u64,
        answer: &PollAnswer,
    ) {
        let version = answer.document_version;
        state.lease.record_version(version);
        // Registries without a document confirm that there is none.
        if answer.is_confirmed && version > 0 {
            state.lease.confirm(requested_at_ms, version);
        }
        if version > state.document_version() && !state.is_reading_document {
            state.is_reading_document = true;
            tokio::spawn(Arc::clone(self).read_newer_documents(registry));
        }
    }

    /// Reads documents until no connected registry tells a newer one.
    async fn read_newer_documents(self: Arc<Self>, first: SocketAddr) {
        let mut partial = PartialChange::default();
        let mut consecutive_failures = 0;
        let mut failed = Vec::new();
        let mut preferred = Some(first);
        while let Some(registry) = self.document_source(preferred, &mut failed) {
            let connection = RpcConnection::new(registry);
            let timeout_ms = CHUNK_TIMEOUT_MS << consecutive_failures.min(TIMEOUT_DOUBLINGS_MAX);
            let mut is_read = false;
            match self
                .read_change(&connection, timeout_ms, &mut partial)
                .await
            {
                Ok(()) => is_read = self.install(&mut partial),
                Err(error) => {
                    info!(self.log, "document not received"; "registry" => %registry,
                        "version" => partial.version, "bytes" => partial.length(),
                        "error" => %error);
                }
            }
            if is_read {
                consecutive_failures = 0;
                failed.clear();
                preferred = Some(registry);
                continue;
            }
            consecutive_failures += 1;
            preferred = None;
            failed.push(registry);
            if self.is_last_source(&failed) {
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }

    /// Reads the rest of a change from one registry.
    async fn read_change(
        &self,
        connection: &RpcConnection,
        timeout_ms: u64,
        partial: &mut PartialChange,
    ) -> Result<(), Error> {
        let client = connection.connect().await?;
        loop {
            let version_in_force = self.lock().document_version();
            let position = partial.next_position(version_in_force);
            let chunk = client.read_change(call_context(timeout_ms), position);
            let chunk = chunk
                .await
                .map_err(|error| connection.disconnect_after(&error))?;
            // A registry that has just restarted may have an older document than it told.
            let chunk = chunk.filter(|chunk| chunk.version > version_in_force);
            if !chunk.is_some_and(|chunk| partial.append(&chunk)) {
                return Err(Error::Connect {
                    address: connection.address(),
                    reason: "the chunk does not continue a change to a newer document".to_owned(),
                });
            }
            if partial.is_complete() {
                debug!(self.log, "document read"; "registry" => %connection.address(),
                    "version" => partial.version, "base_version" => partial.base_version,
                    "bytes" => partial.length());
                return Ok(());
            }
        }
    }

    /// Registry to read a newer document from: the preferred one, or else one that has not failed.
    /// If there is none, reading ends.
    fn document_source(
        &self,
        preferred: Option<SocketAddr>,
        failed: &mut Vec<SocketAddr>,
    ) -> Option<SocketAddr> {
        let mut state = self.lock();
        let mut sources = newer_sources(&state);
        if !sources.is_empty() {
            // After a failure, the instances turn to different registries.
            let first = self.registry_offset % sources.len();
            sources.rotate_left(first);
        }
        if !sources.is_empty() && sources.iter().all(|source| failed.contains(source)) {
            failed.clear();
        }
        let preferred = preferred.filter(|preferred| sources.contains(preferred));
        let mut rest = sources
            .into_iter()
            .filter(|source| !failed.contains(source));
        let source = preferred.or_else(|| rest.next());
        state.is_reading_document = source.is_some();
        source
    }

    /// Whether all registries that tell a newer version have failed.
    fn is_last_source(&self, failed: &[SocketAddr]) -> bool {
        let sources = newer_sources(&self.lock());
        sources.iter().all(|source| failed.contains(source))
    }

    /// Puts a document whose change was read in force, with the lease that a registry confirmed for it;
    /// returns whether the change applies.
    fn install(&self, partial: &mut PartialChange) -> bool {
        let partial = std::mem::take(partial);
        let mut state = self.lock();
        let base = state
            .catalog
            .as_deref()
            .filter(|_| partial.base_version != 0);
        let catalog = decode_change(&partial.bytes)
            .and_then(|change| Catalog::apply(base, change).map_err(|error| error.to_string()));
        let catalog = match catalog {
            Ok(catalog) => Arc::new(catalog),
            Err(error) => {
                warn!(self.log, "document not installed"; "version" => partial.version,
                    "base_version" => partial.base_version, "error" => error);
                return false;
            }
        };
        self.sink.install(&catalog);
        state.catalog = Some(catalog);
        state.lease.put_in_force(partial.version);
        info!(self.log, "document in force"; "version" => partial.version,
            "base_version" => partial.base_version, "bytes" => partial.length());
        self.log_lease_change(&mut state);
        true
    }
}

fn decode_change(bytes: &[u8]) -> Result<CatalogChange, String> {
    postcard::from_bytes(bytes).map_err(|error| error.to_string())
}

/// Connected registries that tell a newer version than the one in force.
fn newer_sources(state: &SubscriberState) -> Vec<SocketAddr> {
    let newer = state.registries.iter().filter(|registry| {
        registry.is_connected && registry.document_version > state.document_version()
    });
    newer
        .map(|registry| registry.connection.address())
        .collect()
}
