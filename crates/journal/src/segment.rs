use serde::de::DeserializeOwned;

use crate::frame::{self, DecodedFrame, FORMAT_VERSION, FRAME_HEADER_BYTES, FramePosition};
use crate::{Error, Record, Storage, TruncatedTail};

const PREFIX: &str = "journal-";
const SUFFIX: &str = ".log";

/// Highest index of a group's entries in a segment.
#[derive(Debug)]
struct LastEntry {
    group: u32,
    index: u64,
}

/// One segment file of the journal.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Sorted by group.
    last_entries: Vec<LastEntry>,
    pub(crate) length_bytes: u64,
    pub(crate) number: u64,
}

impl Segment {
    pub(crate) fn new(number: u64) -> Self {
        Self {
            last_entries: Vec::new(),
            length_bytes: 0,
            number,
        }
    }

    pub(crate) fn parse_number(file: &str) -> Option<u64> {
        file.strip_prefix(PREFIX)?
            .strip_suffix(SUFFIX)?
            .parse()
            .ok()
    }

    pub(crate) fn file_name(&self) -> String {
        segment_file(self.number)
    }

    /// Position of the next frame.
    pub(crate) fn position(&self) -> FramePosition {
        FramePosition {
            file_number: self.number,
            offset_bytes: self.length_bytes,
        }
    }

    /// Updates the highest entry indexes for a record of the segment.
    pub(crate) fn track_record(&mut self, record: &Record) {
        let Record::Entry(entry) = record else {
            return;
        };
        let search_result = self
            .last_entries
            .binary_search_by_key(&entry.group, |last| last.group);
        match search_result {
            Ok(position) => {
                let last = &mut self.last_entries[position];
                last.index = last.index.max(entry.index);
            }
            Err(position) => self.last_entries.insert(
                position,
                LastEntry {
                    group: entry.group,
                    index: entry.index,
                },
            ),
        }
    }

    /// Whether snapshots replace every entry of the segment.
    pub(crate) fn is_covered(&self, snapshot_index: impl Fn(u32) -> u64) -> bool {
        self.last_entries
            .iter()
            .all(|last| last.index <= snapshot_index(last.group))
    }

    /// Reads a segment and applies its records. Truncates an incomplete write at the end of the last
    /// segment.
    pub(crate) fn recover(
        storage: &mut dyn Storage,
        number: u64,
        is_last: bool,
        mut apply_record: impl FnMut(Record) -> Result<(), String>,
    ) -> Result<(Self, Option<TruncatedTail>), Error> {
        let mut segment = Self::new(number);
        let file = segment.file_name();
        let bytes = storage
            .read(&file)
            .map_err(|source| Error::io("read", &file, source))?;
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let position = segment.position();
            let payload = match frame::decode(position, rest) {
                DecodedFrame::Frame { payload, version } => {
                    check_version(&file, position, version)?;
                    payload
                }
                DecodedFrame::Invalid(_)
                    if is_last && !frame::contains_later_frame(position, rest) =>
                {
                    let tail = truncate_tail(storage, file, position, rest.len())?;
                    return Ok((segment, Some(tail)));
                }
                DecodedFrame::Invalid(reason) => return Err(damaged(&file, position, reason)),
            };
            let records: Vec<Record> = postcard::from_bytes(payload)
                .map_err(|error| damaged(&file, position, &error.to_string()))?;
            for record in records {
                segment.track_record(&record);
                apply_record(record).map_err(|reason| damaged(&file, position, &reason))?;
            }
            let frame_bytes = FRAME_HEADER_BYTES + payload.len();
            segment.length_bytes += frame_bytes as u64;
            rest = &rest[frame_bytes..];
        }
        Ok((segment, None))
    }
}

pub(crate) fn segment_file(number: u64) -> String {
    format!("{PREFIX}{number:016}{SUFFIX}")
}

/// Reads and decodes a file that holds a single frame.
pub(crate) fn read_single_frame<T: DeserializeOwned>(
    storage: &dyn Storage,
    file: &str,
    position: FramePosition,
) -> Result<T, Error> {
    let bytes = storage
        .read(file)
        .map_err(|source| Error::io("read", file, source))?;
    let start = FramePosition {
        offset_bytes: 0,
        ..position
    };
    match frame::decode(position, &bytes) {
        DecodedFrame::Frame { payload, version } => {
            check_version(file, start, version)?;
            postcard::from_bytes(payload).map_err(|error| damaged(file, start, &error.to_string()))
        }
        DecodedFrame::Invalid(reason) => Err(damaged(file, start, reason)),
    }
}

fn truncate_tail(
    storage: &mut dyn Storage,
    file: String,
    position: FramePosition,
    length_bytes: usize,
) -> Result<TruncatedTail, Error> {
    storage
        .truncate(&file, position.offset_bytes)
        .map_err(|source| Error::io("truncate", &file, source))?;
    Ok(TruncatedTail {
        file,
        length_bytes: length_bytes as u64,
        offset_bytes: position.offset_bytes,
    })
}

fn check_version(file: &str, position: FramePosition, version: u8) -> Result<(), Error> {
    if version == FORMAT_VERSION {
        return Ok(());
    }
    Err(Error::UnsupportedVersion {
        file: file.to_owned(),
        offset_bytes: position.offset_bytes,
        version,
    })
}

fn damaged(file: &str, position: FramePosition, reason: &str) -> Error {
    Error::Damaged {
        file: file.to_owned(),
        offset_bytes: position.offset_bytes,
        reason: reason.to_owned(),
    }
}
