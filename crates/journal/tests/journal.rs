//! Durability, recovery, and detection of damaged or foreign files.

mod memory;

use journal::{
    Error, FRAME_HEADER_BYTES, FolderStorage, Journal, JournalSettings, Record, SnapshotRecord,
    StateRecord, Storage,
};
use memory::{MemoryStorage, entry};
use quickcheck::{Gen, QuickCheck, TestResult};

const FIRST_SEGMENT: &str = "journal-0000000000000001.log";

fn append_and_sync(journal: &mut Journal, records: impl IntoIterator<Item = Record>) {
    for record in records {
        journal.append(record);
    }
    journal.sync().unwrap();
}

fn state(payload: u8) -> Record {
    Record::State(StateRecord {
        group: 1,
        payload: vec![payload],
    })
}

fn snapshot(index: u64, term: u64) -> SnapshotRecord {
    SnapshotRecord {
        group: 1,
        index,
        payload: vec![7; 100],
        term,
    }
}

fn recovered_indexes(storage: &MemoryStorage) -> Vec<u64> {
    let groups = storage.open().unwrap().groups;
    let entries = groups.iter().flat_map(|group| &group.entries);
    entries.map(|entry| entry.index).collect()
}

#[test]
fn a_crash_keeps_synced_records_and_loses_unsynced_ones() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [state(1), entry(1, 1), entry(2, 1)]);
    journal.append(entry(3, 1));
    storage.crash(0);
    let groups = storage.open().unwrap().groups;
    assert_eq!(groups[0].state, Some(vec![1]));
    assert_eq!(recovered_indexes(&storage), [1, 2]);
}

#[test]
fn an_incomplete_last_frame_of_any_length_is_truncated() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1)]);
    let first_frame_bytes = storage.bytes(FIRST_SEGMENT).len();
    append_and_sync(&mut journal, [entry(2, 1)]);
    let bytes = storage.bytes(FIRST_SEGMENT);
    for length in first_frame_bytes + 1..bytes.len() {
        storage.set_bytes(FIRST_SEGMENT, bytes[..length].to_vec());
        let tail = storage
            .open()
            .unwrap()
            .truncated_tail
            .expect("the tail is truncated");
        assert_eq!(tail.offset_bytes, first_frame_bytes as u64);
        assert_eq!(storage.bytes(FIRST_SEGMENT).len(), first_frame_bytes);
        assert_eq!(recovered_indexes(&storage), [1]);
    }
}

#[test]
fn a_damaged_frame_before_a_valid_one_is_refused_with_file_and_offset() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1)]);
    let second_frame_offset = storage.bytes(FIRST_SEGMENT).len();
    append_and_sync(&mut journal, [entry(2, 1)]);
    let third_frame_offset = storage.bytes(FIRST_SEGMENT).len();
    append_and_sync(&mut journal, [entry(3, 1)]);
    let intact_bytes = storage.bytes(FIRST_SEGMENT);
    for damaged_offset in second_frame_offset..third_frame_offset {
        let mut bytes = intact_bytes.clone();
        bytes[damaged_offset] ^= 1;
        storage.set_bytes(FIRST_SEGMENT, bytes);
        match storage.open().unwrap_err() {
            Error::Damaged {
                file, offset_bytes, ..
            } => assert_eq!(
                (file.as_str(), offset_bytes),
                (FIRST_SEGMENT, second_frame_offset as u64)
            ),
            other => panic!("{other}"),
        }
    }
}

#[test]
fn an_incomplete_frame_at_the_end_of_an_older_segment_is_refused() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    for index in 1..30 {
        append_and_sync(&mut journal, [entry(index, 1)]);
    }
    let mut bytes = storage.bytes(FIRST_SEGMENT);
    bytes.pop();
    storage.set_bytes(FIRST_SEGMENT, bytes);
    let error = storage.open().unwrap_err();
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
}

#[test]
fn another_format_version_is_refused() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1)]);
    let identity_bytes = storage.bytes("identity");
    let mut bytes = identity_bytes.clone();
    bytes[FRAME_HEADER_BYTES - 1] = 2;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&u64::MAX.to_le_bytes());
    hasher.update(&0_u64.to_le_bytes());
    hasher.update(&((bytes.len() - FRAME_HEADER_BYTES) as u64).to_le_bytes());
    hasher.update(&bytes[FRAME_HEADER_BYTES - 1..]);
    bytes[8..12].copy_from_slice(&hasher.finalize().to_le_bytes());
    storage.set_bytes("identity", bytes);
    let error = storage.open().unwrap_err();
    assert!(
        matches!(error, Error::UnsupportedVersion { version: 2, .. }),
        "{error}"
    );
}

#[test]
fn an_entry_replaces_its_index_and_all_later_entries() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1), entry(2, 1), entry(3, 1)]);
    append_and_sync(&mut journal, [entry(2, 2)]);
    assert_eq!(recovered_indexes(&storage), [1, 2]);
}

#[test]
fn the_journal_accepts_no_records_after_a_failed_sync() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    storage.fail_syncs();
    journal.append(entry(1, 1));
    assert!(matches!(journal.sync(), Err(Error::Io { .. })));
    journal.append(entry(1, 1));
    assert!(matches!(journal.sync(), Err(Error::Poisoned { .. })));
    let result = journal.save_snapshot(&snapshot(1, 1));
    assert!(matches!(result, Err(Error::Poisoned { .. })));
}

#[test]
fn after_a_full_disk_the_journal_fails_and_reopening_truncates_the_incomplete_write() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1)]);
    storage.limit_free_space(10);
    journal.append(entry(2, 1));
    let error = journal.sync().unwrap_err();
    assert!(error.to_string().contains(FIRST_SEGMENT), "{error}");
    assert!(matches!(journal.sync(), Err(Error::Poisoned { .. })));
    assert_eq!(recovered_indexes(&storage), [1]);
}

#[test]
fn a_snapshot_removes_covered_segments_and_keeps_the_state() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [state(9)]);
    for index in 1..=60 {
        append_and_sync(&mut journal, [entry(index, 1)]);
    }
    let file_count = storage.sorted_names().len();
    journal.save_snapshot(&snapshot(20, 1)).unwrap();
    journal.save_snapshot(&snapshot(55, 1)).unwrap();
    assert!(
        storage.sorted_names().len() < file_count,
        "{:?}",
        storage.sorted_names()
    );
    let groups = storage.open().unwrap().groups;
    assert_eq!(groups[0].snapshot, Some(snapshot(55, 1)));
    assert_eq!(groups[0].state, Some(vec![9]));
    assert_eq!(recovered_indexes(&storage), [56, 57, 58, 59, 60]);
}

#[test]
fn a_snapshot_with_another_term_discards_the_log() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1), entry(2, 1), entry(3, 1)]);
    journal.save_snapshot(&snapshot(2, 2)).unwrap();
    assert!(recovered_indexes(&storage).is_empty());
    append_and_sync(&mut journal, [Record::Discard { group: 1 }, entry(3, 2)]);
    assert_eq!(recovered_indexes(&storage), [3]);
}

#[test]
fn a_missing_snapshot_or_segment_is_refused() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    for index in 1..=60 {
        append_and_sync(&mut journal, [entry(index, 1)]);
    }
    journal.save_snapshot(&snapshot(55, 1)).unwrap();
    let names = storage.sorted_names();
    let newest_segment = names
        .iter()
        .rfind(|name| name.starts_with("journal"))
        .unwrap();
    let bytes = storage.bytes(newest_segment);
    storage.delete(newest_segment);
    assert!(matches!(storage.open(), Err(Error::FileMissing { .. })));
    storage.set_bytes(newest_segment, bytes);
    storage.delete(names.last().unwrap());
    assert!(matches!(storage.open(), Err(Error::FileMissing { .. })));
}

#[test]
fn a_folder_keeps_its_storage_id_and_refuses_other_instances() {
    let storage = MemoryStorage::default();
    let storage_id = storage.open().unwrap().journal.identity().storage_id;
    assert_eq!(
        storage.open().unwrap().journal.identity().storage_id,
        storage_id
    );
    let error = storage.open_as("b").unwrap_err();
    assert!(matches!(error, Error::WrongInstance { .. }), "{error}");
    append_and_sync(&mut storage.open().unwrap().journal, [entry(1, 1)]);
    storage.delete("identity");
    let error = storage.open().unwrap_err();
    assert!(matches!(error, Error::IdentityMissing { .. }), "{error}");
}

#[test]
fn a_deleted_and_recreated_folder_gets_another_storage_id() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    let open = || Journal::open(&path, JournalSettings::new("a")).unwrap();
    let storage_id = open().journal.identity().storage_id;
    assert_eq!(open().journal.identity().storage_id, storage_id);
    std::fs::remove_dir_all(&path).unwrap();
    assert_ne!(open().journal.identity().storage_id, storage_id);
}

#[test]
fn a_locked_folder_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let locked = FolderStorage::open(folder.path()).unwrap();
    let error = FolderStorage::open(folder.path()).unwrap_err();
    assert!(matches!(error, Error::Locked { .. }), "{error}");
    drop(locked);
    FolderStorage::open(folder.path()).unwrap();
}

#[test]
fn opening_a_folder_removes_temporary_files() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("identity.tmp"), b"half").unwrap();
    let mut storage = FolderStorage::open(folder.path()).unwrap();
    storage.replace("identity", b"whole").unwrap();
    assert_eq!(storage.read("identity").unwrap(), b"whole");
    assert_eq!(storage.list().unwrap(), ["identity"]);
}

#[test]
fn opening_files_of_random_bytes_never_panics() {
    fn opens_without_panic(file: u8, bytes: Vec<u8>) -> bool {
        let storage = MemoryStorage::default();
        drop(storage.open().unwrap());
        let names = [
            FIRST_SEGMENT,
            "identity",
            "snapshot-1-00000000000000000005.snap",
        ];
        storage.set_bytes(names[usize::from(file) % names.len()], bytes);
        let _ = storage.open();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 11))
        .tests(2_000)
        .quickcheck(opens_without_panic as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn mutated_bytes_never_recover_entries_that_were_not_written() {
    fn recovers_only_written_entries(mutations: Vec<(u16, u8)>) -> TestResult {
        let storage = MemoryStorage::default();
        let mut journal = storage.open().unwrap().journal;
        for index in 1..=4 {
            append_and_sync(&mut journal, [entry(index, 1), entry(index + 1, 1)]);
        }
        let mut bytes = storage.bytes(FIRST_SEGMENT);
        for (offset, mask) in mutations {
            let offset = usize::from(offset) % bytes.len();
            bytes[offset] ^= mask;
        }
        storage.set_bytes(FIRST_SEGMENT, bytes);
        let Ok(opened) = storage.open() else {
            return TestResult::passed();
        };
        let entries = opened.groups.iter().flat_map(|group| &group.entries);
        let is_written = |recovered: &journal::EntryRecord| {
            Record::Entry(recovered.clone()) == entry(recovered.index, 1)
        };
        TestResult::from_bool(entries.into_iter().all(is_written))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(3, 12))
        .tests(2_000)
        .quickcheck(recovers_only_written_entries as fn(Vec<(u16, u8)>) -> TestResult);
}

#[test]
fn synced_records_are_recovered_after_a_crash() {
    fn recovers_synced_records(batches: Vec<u8>, unsynced_kept_bytes: u16) -> bool {
        let storage = MemoryStorage::default();
        let mut journal = storage.open().unwrap().journal;
        let mut index = 0;
        let mut snapshot_index = 0;
        for batch in batches {
            append_and_sync(
                &mut journal,
                (1..=u64::from(batch % 7)).map(|step| entry(index + step, 1)),
            );
            index += u64::from(batch % 7);
            if batch % 11 == 0 && index > snapshot_index {
                snapshot_index = index - 1;
                journal.save_snapshot(&snapshot(snapshot_index, 1)).unwrap();
            }
        }
        storage.crash(usize::from(unsynced_kept_bytes));
        let expected: Vec<u64> = (snapshot_index + 1..=index).collect();
        recovered_indexes(&storage) == expected
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 13))
        .tests(300)
        .quickcheck(recovers_synced_records as fn(Vec<u8>, u16) -> bool);
}

#[test]
fn unrelated_files_in_the_folder_are_ignored() {
    let storage = MemoryStorage::default();
    storage.set_bytes("lost+found", Vec::new());
    append_and_sync(&mut storage.open().unwrap().journal, [entry(1, 1)]);
    assert_eq!(recovered_indexes(&storage), [1]);
}

#[test]
fn an_older_snapshot_is_kept_if_the_newer_one_is_damaged() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    append_and_sync(&mut journal, [entry(1, 1), entry(2, 1)]);
    journal.save_snapshot(&snapshot(1, 1)).unwrap();
    let name = |index: u64| format!("snapshot-1-{index:020}.snap");
    storage.set_bytes(&name(2), b"damaged".to_vec());
    let error = storage.open().unwrap_err();
    assert!(error.to_string().contains(&name(2)), "{error}");
    assert!(storage.sorted_names().contains(&name(1)));
}
