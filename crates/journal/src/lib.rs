//! Checksummed, synced log files and snapshots in one data folder.
//!
//! Several replication groups share one stream of segment files. [`Journal::append`] collects
//! records and [`Journal::sync`] writes them as one frame with one sync, so that many commits cost
//! one. A frame holds a magic number, its length, a checksum and a format version; the checksum
//! also covers the segment's number and the offset, so a frame is valid only where it was written.
//!
//! A frame is synced before the next one is written. An invalid frame at the end of the last
//! segment, with no valid frame after it, is therefore an unfinished write: it is cut off. Any
//! other invalid frame is damage: opening is refused, with file and offset.
//!
//! Snapshots and the identity file are written to a temporary file, synced and renamed. Segments
//! and snapshots are removed only after the snapshot that replaces them is durable. After a
//! failing write or sync the journal accepts nothing more, for what the disk holds is unknown.
//!
//! The identity file names the instance and a random storage identity, made with the folder, and
//! the newest segment. A folder of another instance is refused, and so is one whose newest
//! segment is missing. A folder put back from an old copy cannot be told from the original.

mod error;
mod folder;
mod frame;
mod identity;
mod journal;
mod opening;
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
