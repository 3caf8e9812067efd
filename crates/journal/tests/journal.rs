//! Durability, recovery and refusal of damage.

mod memory;

use journal::{
    Error, FRAME_HEADER_BYTES, FolderStorage, Journal, JournalSettings, Record, SnapshotRecord,
    StateRecord, Storage,
};
use memory::{MemoryStorage, entry};
use quickcheck::{Gen, QuickCheck, TestResult};

const FIRST: &str = "journal-0000000000000001.log";

fn write(journal: &mut Journal, records: impl IntoIterator<Item = Record>) {
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

fn recovered(storage: &MemoryStorage) -> Vec<u64> {
    let groups = storage.open().unwrap().groups;
    let entries = groups.iter().flat_map(|group| &group.entries);
    entries.map(|entry| entry.index).collect()
}

#[test]
fn synced_records_survive_a_crash_and_others_do_not() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [state(1), entry(1, 1), entry(2, 1)]);
    journal.append(entry(3, 1));
    storage.crash(0);
    let groups = storage.open().unwrap().groups;
    assert_eq!(groups[0].state, Some(vec![1]));
    assert_eq!(recovered(&storage), [1, 2]);
}

#[test]
fn a_torn_tail_is_cut_at_every_length() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1)]);
    let whole = storage.bytes(FIRST).len();
    write(&mut journal, [entry(2, 1)]);
    let bytes = storage.bytes(FIRST);
    for length in whole + 1..bytes.len() {
        storage.set(FIRST, bytes[..length].to_vec());
        let tail = storage
            .open()
            .unwrap()
            .truncated_tail
            .expect("a tail is cut");
        assert_eq!(tail.offset_bytes, whole as u64);
        assert_eq!(storage.bytes(FIRST).len(), whole);
        assert_eq!(recovered(&storage), [1]);
    }
}

#[test]
fn a_corrupt_middle_is_refused_with_file_and_offset() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1)]);
    let second = storage.bytes(FIRST).len();
    write(&mut journal, [entry(2, 1)]);
    let third = storage.bytes(FIRST).len();
    write(&mut journal, [entry(3, 1)]);
    let whole = storage.bytes(FIRST);
    for damaged in second..third {
        let mut bytes = whole.clone();
        bytes[damaged] ^= 1;
        storage.set(FIRST, bytes);
        match storage.open().unwrap_err() {
            Error::Damaged {
                file, offset_bytes, ..
            } => assert_eq!((file.as_str(), offset_bytes), (FIRST, second as u64)),
            other => panic!("{other}"),
        }
    }
}

#[test]
fn damage_in_an_older_segment_is_refused_at_its_end_too() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    for index in 1..30 {
        write(&mut journal, [entry(index, 1)]);
    }
    let mut bytes = storage.bytes(FIRST);
    bytes.pop();
    storage.set(FIRST, bytes);
    let error = storage.open().unwrap_err();
    assert!(matches!(error, Error::Damaged { .. }), "{error}");
}

#[test]
fn a_newer_format_version_is_refused() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1)]);
    let identity = storage.bytes("identity");
    let mut bytes = identity.clone();
    bytes[FRAME_HEADER_BYTES - 1] = 2;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&u64::MAX.to_le_bytes());
    hasher.update(&0_u64.to_le_bytes());
    hasher.update(&((bytes.len() - FRAME_HEADER_BYTES) as u64).to_le_bytes());
    hasher.update(&bytes[FRAME_HEADER_BYTES - 1..]);
    bytes[8..12].copy_from_slice(&hasher.finalize().to_le_bytes());
    storage.set("identity", bytes);
    let error = storage.open().unwrap_err();
    assert!(
        matches!(error, Error::Version { version: 2, .. }),
        "{error}"
    );
}

#[test]
fn an_entry_replaces_its_position_and_everything_after_it() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1), entry(2, 1), entry(3, 1)]);
    write(&mut journal, [entry(2, 2)]);
    assert_eq!(recovered(&storage), [1, 2]);
}

#[test]
fn a_failing_sync_poisons_the_journal() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    storage.fail_syncs();
    journal.append(entry(1, 1));
    assert!(matches!(journal.sync(), Err(Error::Io { .. })));
    journal.append(entry(1, 1));
    assert!(matches!(journal.sync(), Err(Error::Poisoned { .. })));
    let refused = journal.save_snapshot(&snapshot(1, 1));
    assert!(matches!(refused, Err(Error::Poisoned { .. })));
}

#[test]
fn a_full_disk_poisons_the_journal_and_leaves_a_tail_that_is_cut() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1)]);
    storage.fill_disk(10);
    journal.append(entry(2, 1));
    let error = journal.sync().unwrap_err();
    assert!(error.to_string().contains(FIRST), "{error}");
    assert!(matches!(journal.sync(), Err(Error::Poisoned { .. })));
    assert_eq!(recovered(&storage), [1]);
}

#[test]
fn a_snapshot_replaces_segments_and_keeps_the_state() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [state(9)]);
    for index in 1..=60 {
        write(&mut journal, [entry(index, 1)]);
    }
    let segments = storage.names().len();
    journal.save_snapshot(&snapshot(20, 1)).unwrap();
    journal.save_snapshot(&snapshot(55, 1)).unwrap();
    assert!(storage.names().len() < segments, "{:?}", storage.names());
    let groups = storage.open().unwrap().groups;
    assert_eq!(groups[0].snapshot, Some(snapshot(55, 1)));
    assert_eq!(groups[0].state, Some(vec![9]));
    assert_eq!(recovered(&storage), [56, 57, 58, 59, 60]);
}

#[test]
fn a_snapshot_that_contradicts_the_log_replaces_it() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1), entry(2, 1), entry(3, 1)]);
    journal.save_snapshot(&snapshot(2, 2)).unwrap();
    assert!(recovered(&storage).is_empty());
    write(&mut journal, [Record::Discard { group: 1 }, entry(3, 2)]);
    assert_eq!(recovered(&storage), [3]);
}

#[test]
fn a_missing_snapshot_or_segment_is_refused() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    for index in 1..=60 {
        write(&mut journal, [entry(index, 1)]);
    }
    journal.save_snapshot(&snapshot(55, 1)).unwrap();
    let names = storage.names();
    let newest = names
        .iter()
        .rfind(|name| name.starts_with("journal"))
        .unwrap();
    let bytes = storage.bytes(newest);
    storage.delete(newest);
    assert!(matches!(storage.open(), Err(Error::Missing { .. })));
    storage.set(newest, bytes);
    storage.delete(names.last().unwrap());
    assert!(matches!(storage.open(), Err(Error::Missing { .. })));
}

#[test]
fn a_folder_keeps_its_identity_and_refuses_other_instances() {
    let storage = MemoryStorage::default();
    let identity = storage.open().unwrap().journal.identity().storage_id;
    assert_eq!(
        storage.open().unwrap().journal.identity().storage_id,
        identity
    );
    let error = storage.open_as("b").unwrap_err();
    assert!(matches!(error, Error::WrongInstance { .. }), "{error}");
    write(&mut storage.open().unwrap().journal, [entry(1, 1)]);
    storage.delete("identity");
    let error = storage.open().unwrap_err();
    assert!(matches!(error, Error::IdentityMissing { .. }), "{error}");
}

#[test]
fn a_wiped_folder_gets_another_identity() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("data");
    let open = || Journal::open(&path, JournalSettings::new("a")).unwrap();
    let identity = open().journal.identity().storage_id;
    assert_eq!(open().journal.identity().storage_id, identity);
    std::fs::remove_dir_all(&path).unwrap();
    assert_ne!(open().journal.identity().storage_id, identity);
}

#[test]
fn a_second_process_on_one_folder_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let first = FolderStorage::open(folder.path()).unwrap();
    let error = FolderStorage::open(folder.path()).unwrap_err();
    assert!(matches!(error, Error::Locked { .. }), "{error}");
    drop(first);
    FolderStorage::open(folder.path()).unwrap();
}

#[test]
fn unfinished_replacements_are_removed_from_a_real_folder() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("identity.tmp"), b"half").unwrap();
    let mut storage = FolderStorage::open(folder.path()).unwrap();
    storage.replace("identity", b"whole").unwrap();
    assert_eq!(storage.read("identity").unwrap(), b"whole");
    assert_eq!(storage.list().unwrap(), ["identity"]);
}

#[test]
fn random_bytes_never_panic_a_decoder() {
    fn decodes(file: u8, bytes: Vec<u8>) -> bool {
        let storage = MemoryStorage::default();
        drop(storage.open().unwrap());
        let names = [FIRST, "identity", "snapshot-1-00000000000000000005.snap"];
        storage.set(names[usize::from(file) % names.len()], bytes);
        let _ = storage.open();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 11))
        .tests(2_000)
        .quickcheck(decodes as fn(u8, Vec<u8>) -> bool);
}

#[test]
fn mutated_bytes_never_yield_entries_that_were_not_written() {
    fn holds(mutations: Vec<(u16, u8)>) -> TestResult {
        let storage = MemoryStorage::default();
        let mut journal = storage.open().unwrap().journal;
        for index in 1..=4 {
            write(&mut journal, [entry(index, 1), entry(index + 1, 1)]);
        }
        let mut bytes = storage.bytes(FIRST);
        for (at, mask) in mutations {
            let at = usize::from(at) % bytes.len();
            bytes[at] ^= mask;
        }
        storage.set(FIRST, bytes);
        let Ok(opened) = storage.open() else {
            return TestResult::passed();
        };
        let entries = opened.groups.iter().flat_map(|group| &group.entries);
        let is_written =
            |found: &journal::EntryRecord| Record::Entry(found.clone()) == entry(found.index, 1);
        TestResult::from_bool(entries.into_iter().all(is_written))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(3, 12))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<(u16, u8)>) -> TestResult);
}

#[test]
fn every_synced_record_is_recovered_whatever_crash_follows() {
    fn holds(batches: Vec<u8>, kept_bytes: u16) -> bool {
        let storage = MemoryStorage::default();
        let mut journal = storage.open().unwrap().journal;
        let mut index = 0;
        let mut snapshot_index = 0;
        for batch in batches {
            write(
                &mut journal,
                (1..=u64::from(batch % 7)).map(|at| entry(index + at, 1)),
            );
            index += u64::from(batch % 7);
            if batch % 11 == 0 && index > snapshot_index {
                snapshot_index = index - 1;
                journal.save_snapshot(&snapshot(snapshot_index, 1)).unwrap();
            }
        }
        storage.crash(usize::from(kept_bytes));
        let expected: Vec<u64> = (snapshot_index + 1..=index).collect();
        recovered(&storage) == expected
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 13))
        .tests(300)
        .quickcheck(holds as fn(Vec<u8>, u16) -> bool);
}

#[test]
fn files_of_others_in_the_folder_do_not_matter() {
    let storage = MemoryStorage::default();
    storage.set("lost+found", Vec::new());
    write(&mut storage.open().unwrap().journal, [entry(1, 1)]);
    assert_eq!(recovered(&storage), [1]);
}

#[test]
fn an_older_snapshot_is_kept_until_the_newer_one_is_read() {
    let storage = MemoryStorage::default();
    let mut journal = storage.open().unwrap().journal;
    write(&mut journal, [entry(1, 1), entry(2, 1)]);
    journal.save_snapshot(&snapshot(1, 1)).unwrap();
    let name = |index: u64| format!("snapshot-1-{index:020}.snap");
    storage.set(&name(2), b"damaged".to_vec());
    let error = storage.open().unwrap_err();
    assert!(error.to_string().contains(&name(2)), "{error}");
    assert!(storage.names().contains(&name(1)));
}
