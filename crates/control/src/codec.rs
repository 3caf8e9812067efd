use agreement::{Entry, HardState, RecoveredState, Snapshot, Write};
use journal::{EntryRecord, Journal, Record, RecoveredGroup, SnapshotRecord, StateRecord};

use crate::Error;

/// Appends a write to the journal; it is durable after the journal's next sync.
pub(crate) fn append(
    journal: &mut Journal,
    group: u32,
    write: &Write,
) -> Result<(), journal::Error> {
    if let Some(hard_state) = &write.hard_state {
        let payload = encode(hard_state);
        journal.append(Record::State(StateRecord { group, payload }));
    }
    if let Some(snapshot) = &write.snapshot {
        journal.save_snapshot(&SnapshotRecord {
            group,
            index: snapshot.index.0,
            payload: encode(snapshot.as_ref()),
            term: snapshot.term.0,
        })?;
    }
    if write.discards_log {
        journal.append(Record::Discard { group });
    }
    for entry in &write.entries {
        journal.append(Record::Entry(EntryRecord {
            group,
            index: entry.index.0,
            payload: encode(entry),
            term: entry.term.0,
        }));
    }
    Ok(())
}

/// Decodes the state of a replica that the journal recovered; default state without any.
pub(crate) fn recover(group: Option<&RecoveredGroup>) -> Result<RecoveredState, Error> {
    let Some(group) = group else {
        return Ok(RecoveredState::default());
    };
    decode(group).map_err(|source| Error::StateDecode {
        group: group.group,
        source,
    })
}

fn decode(group: &RecoveredGroup) -> Result<RecoveredState, postcard::Error> {
    let hard_state = group
        .state
        .as_ref()
        .map_or(Ok(HardState::default()), |payload| {
            postcard::from_bytes(payload)
        })?;
    let snapshot: Option<Snapshot> = group
        .snapshot
        .as_ref()
        .map(|snapshot| postcard::from_bytes(&snapshot.payload))
        .transpose()?;
    let entries = group
        .entries
        .iter()
        .map(|entry| postcard::from_bytes(&entry.payload))
        .collect::<Result<Vec<Entry>, _>>()?;
    Ok(RecoveredState {
        entries,
        hard_state,
        snapshot,
    })
}

fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("Raft state can be encoded")
}
