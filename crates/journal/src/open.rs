use crate::identity::IDENTITY_FILE;
use crate::journal::JournalSettings;
use crate::recovery::Recovery;
use crate::segment::{Segment, segment_file};
use crate::snapshot::{self, SnapshotName};
use crate::{Error, Storage, StorageIdentity, TruncatedTail};

/// Reads the identity file and checks the instance; creates the file in an empty folder.
pub(crate) fn open_identity(
    storage: &mut dyn Storage,
    files: &[String],
    settings: &JournalSettings,
) -> Result<StorageIdentity, Error> {
    if !files.iter().any(|file| file == IDENTITY_FILE) {
        return create_identity(storage, files, settings);
    }
    let identity = StorageIdentity::read(storage)?;
    if identity.instance != settings.instance {
        return Err(Error::WrongInstance {
            expected: settings.instance.clone(),
            found: identity.instance,
        });
    }
    Ok(identity)
}

fn create_identity(
    storage: &mut dyn Storage,
    files: &[String],
    settings: &JournalSettings,
) -> Result<StorageIdentity, Error> {
    let first = segment_file(1);
    let is_journal_file =
        |file: &str| Segment::parse_number(file).is_some() || SnapshotName::parse(file).is_some();
    if let Some(file) = files
        .iter()
        .find(|file| is_journal_file(file) && **file != first)
    {
        return Err(Error::IdentityMissing { file: file.clone() });
    }
    let has_records = files.contains(&first)
        && !storage
            .read(&first)
            .map_err(|source| Error::io("read", &first, source))?
            .is_empty();
    if has_records {
        return Err(Error::IdentityMissing { file: first });
    }
    storage
        .append(&first, &[])
        .and_then(|()| storage.sync(&first))
        .map_err(|source| Error::io("create", &first, source))?;
    let identity = StorageIdentity {
        instance: settings.instance.clone(),
        newest_segment: 1,
        storage_id: storage
            .random_id()
            .map_err(|source| Error::io("generate a random id for", IDENTITY_FILE, source))?,
    };
    identity.write(storage)?;
    Ok(identity)
}

/// Reads all segments in order, and truncates an incomplete write at the end of the last one.
pub(crate) fn recover_segments(
    storage: &mut dyn Storage,
    files: &[String],
    identity: &StorageIdentity,
    recovery: &mut Recovery,
) -> Result<(Vec<Segment>, Option<TruncatedTail>), Error> {
    let mut numbers: Vec<u64> = files
        .iter()
        .filter_map(|file| Segment::parse_number(file))
        .collect();
    numbers.sort_unstable();
    if !files.iter().any(|file| file == IDENTITY_FILE) {
        numbers = vec![identity.newest_segment]; // The folder has just been initialised.
    }
    let newest_number = numbers.last().copied().unwrap_or(0);
    if newest_number < identity.newest_segment {
        return Err(missing_segment(identity.newest_segment));
    }
    if let Some(gap) = numbers.windows(2).find(|pair| pair[0] + 1 != pair[1]) {
        return Err(missing_segment(gap[0] + 1));
    }
    let mut segments = Vec::new();
    let mut truncated_tail = None;
    for number in numbers {
        let apply_record = |record| recovery.apply_record(record);
        let (segment, tail) =
            Segment::recover(storage, number, number == newest_number, apply_record)?;
        segments.push(segment);
        truncated_tail = tail;
    }
    Ok((segments, truncated_tail))
}

fn missing_segment(number: u64) -> Error {
    Error::FileMissing {
        file: segment_file(number),
    }
}

/// Reads the newest snapshot of each group and removes the older ones.
pub(crate) fn recover_snapshots(
    storage: &mut dyn Storage,
    files: &[String],
    recovery: &mut Recovery,
) -> Result<(), Error> {
    let mut names: Vec<SnapshotName> = files
        .iter()
        .filter_map(|file| SnapshotName::parse(file))
        .collect();
    names.sort_unstable();
    let (older, newest): (Vec<usize>, Vec<usize>) = (0..names.len()).partition(|position| {
        let next = names.get(position + 1);
        next.is_some_and(|next| next.group == names[*position].group)
    });
    for position in newest {
        recovery.set_snapshot(snapshot::read(storage, names[position])?);
    }
    for position in older {
        let file = names[position].file_name();
        storage
            .remove(&file)
            .map_err(|source| Error::io("remove", &file, source))?;
    }
    Ok(())
}
