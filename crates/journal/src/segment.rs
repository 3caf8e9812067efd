use serde::de::DeserializeOwned;

use crate::frame::{self, Decoded, FORMAT_VERSION, FRAME_HEADER_BYTES, Place};
use crate::{Error, Record, Storage, TruncatedTail};

const PREFIX: &str = "journal-";
const SUFFIX: &str = ".log";

/// Last position of a group in a segment.
#[derive(Debug)]
struct LastEntry {
    group: u32,
    index: u64,
}

/// One file of the stream.
#[derive(Debug)]
pub(crate) struct Segment {
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

    pub(crate) fn number_of(file: &str) -> Option<u64> {
        file.strip_prefix(PREFIX)?
            .strip_suffix(SUFFIX)?
            .parse()
            .ok()
    }

    pub(crate) fn file(&self) -> String {
        segment_file(self.number)
    }

    pub(crate) fn place(&self) -> Place {
        Place {
            offset_bytes: self.length_bytes,
            stream: self.number,
        }
    }

    /// Notes what a record adds to the segment.
    pub(crate) fn note(&mut self, record: &Record) {
        let Record::Entry(entry) = record else {
            return;
        };
        let found = self
            .last_entries
            .binary_search_by_key(&entry.group, |last| last.group);
        match found {
            Ok(at) => {
                let last = &mut self.last_entries[at];
                last.index = last.index.max(entry.index);
            }
            Err(at) => self.last_entries.insert(
                at,
                LastEntry {
                    group: entry.group,
                    index: entry.index,
                },
            ),
        }
    }

    /// Whether a snapshot replaces every entry of the segment.
    pub(crate) fn is_replaced(&self, snapshot_index: impl Fn(u32) -> u64) -> bool {
        self.last_entries
            .iter()
            .all(|last| last.index <= snapshot_index(last.group))
    }

    /// Reads a segment; cuts an unfinished write off the end of the last one.
    pub(crate) fn recover(
        storage: &mut dyn Storage,
        number: u64,
        is_last: bool,
        mut take: impl FnMut(Record) -> Result<(), String>,
    ) -> Result<(Self, Option<TruncatedTail>), Error> {
        let mut segment = Self::new(number);
        let file = segment.file();
        let bytes = storage
            .read(&file)
            .map_err(|source| Error::io("read", &file, source))?;
        let mut rest = bytes.as_slice();
        while !rest.is_empty() {
            let place = segment.place();
            let payload = match frame::decode(place, rest) {
                Decoded::Frame { payload, version } => {
                    check_version(&file, place, version)?;
                    payload
                }
                Decoded::Invalid(_) if is_last && !frame::follows(place, rest) => {
                    let tail = truncate_tail(storage, file, place, rest.len())?;
                    return Ok((segment, Some(tail)));
                }
                Decoded::Invalid(reason) => return Err(damaged(&file, place, reason)),
            };
            let records: Vec<Record> = postcard::from_bytes(payload)
                .map_err(|error| damaged(&file, place, &error.to_string()))?;
            for record in records {
                segment.note(&record);
                take(record).map_err(|reason| damaged(&file, place, &reason))?;
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

/// Reads a file that holds one frame.
pub(crate) fn read_single<T: DeserializeOwned>(
    storage: &dyn Storage,
    file: &str,
    place: Place,
) -> Result<T, Error> {
    let bytes = storage
        .read(file)
        .map_err(|source| Error::io("read", file, source))?;
    let start = Place {
        offset_bytes: 0,
        ..place
    };
    match frame::decode(place, &bytes) {
        Decoded::Frame { payload, version } => {
            check_version(file, start, version)?;
            postcard::from_bytes(payload).map_err(|error| damaged(file, start, &error.to_string()))
        }
        Decoded::Invalid(reason) => Err(damaged(file, start, reason)),
    }
}

fn truncate_tail(
    storage: &mut dyn Storage,
    file: String,
    place: Place,
    length: usize,
) -> Result<TruncatedTail, Error> {
    storage
        .truncate(&file, place.offset_bytes)
        .map_err(|source| Error::io("cut", &file, source))?;
    Ok(TruncatedTail {
        file,
        length_bytes: length as u64,
        offset_bytes: place.offset_bytes,
    })
}

fn check_version(file: &str, place: Place, version: u8) -> Result<(), Error> {
    if version == FORMAT_VERSION {
        return Ok(());
    }
    Err(Error::Version {
        file: file.to_owned(),
        offset_bytes: place.offset_bytes,
        version,
    })
}

fn damaged(file: &str, place: Place, reason: &str) -> Error {
    Error::Damaged {
        file: file.to_owned(),
        offset_bytes: place.offset_bytes,
        reason: reason.to_owned(),
    }
}
