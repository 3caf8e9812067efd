//! Write-ahead log and snapshots of replication groups in one data folder.
//!
//! All groups of an instance share one sequence of segment files. [`Journal::append`] collects
//! records and [`Journal::sync`] writes them as one frame with one sync, so that many commits share
//! a sync. A frame holds a magic number, its length, a checksum and a format version. The checksum
//! also covers the segment's number and the offset, so a frame is valid only where it was written.
//!
//! A frame is synced before the next one is written. An invalid frame at the end of the last
//! segment, with no valid frame after it, is therefore an incomplete write and is truncated. Any
//! other invalid frame is damage: opening fails with the file and the offset.
//!
//! Snapshots and the identity file are written to a temporary file, synced and renamed. Segments
//! and snapshots are removed only after the snapshot that replaces them is durable. After a failed
//! write or sync the journal accepts no more records, because the content on disk is unknown.
//!
//! The identity file holds the instance, a random storage id from the folder's creation, and the
//! number of the newest segment. Opening fails if the folder belongs to another instance or lacks
//! its newest segment. A folder restored from an old copy cannot be distinguished from the
//! original.

mod error;
mod folder;
mod frame;
mod identity;
mod journal;
mod open;
mod record;
mod recovery;
mod segment;
mod snapshot;
mod storage;

pub use error::Error;
pub use folder::FolderStorage;
pub use frame::{FORMAT_VERSION, FRAME_HEADER_BYTES};
pub use identity::StorageIdentity;
pub use journal::{Journal, JournalSettings, OpenedJournal};
pub use record::{EntryRecord, Record, StateRecord};
pub use recovery::{RecoveredGroup, TruncatedTail};
pub use snapshot::SnapshotRecord;
pub use storage::Storage;
