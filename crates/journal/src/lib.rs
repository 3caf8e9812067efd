//! Checksummed, synced log files and snapshots.
