use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use sha2::{Digest, Sha256};

use crate::{Error, Revision, Row, RowKey};

const FINGERPRINT_BYTES: usize = 6;
const FINGERPRINT_DIGITS: usize = 2 * FINGERPRINT_BYTES;

/// Version of a CSV line when the file was exported, such as `r17-9f2c41aa03bd`.
///
/// Consists of the table's revision and a fingerprint of the line. The fingerprint shows whether the
/// line was edited after the export.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct LineBase {
    fingerprint: u64,
    /// Revision of the table at the export.
    pub revision: Revision,
}

impl LineBase {
    /// Base of a line that is exported at the table's `revision`.
    #[must_use]
    pub fn new(revision: Revision, key: &RowKey, row: &Row) -> Self {
        Self {
            fingerprint: fingerprint(key, row),
            revision,
        }
    }

    /// Whether the line has the same content as at the export.
    #[must_use]
    pub fn is_unedited(&self, key: &RowKey, row: &Row) -> bool {
        self.fingerprint == fingerprint(key, row)
    }
}

impl Display for LineBase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (revision, fingerprint) = (self.revision, self.fingerprint);
        write!(f, "r{revision}-{fingerprint:0FINGERPRINT_DIGITS$x}")
    }
}

impl FromStr for LineBase {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let parse = || {
            let (revision, digits) = text.strip_prefix('r')?.split_once('-')?;
            let is_hex = |byte: u8| byte.is_ascii_hexdigit();
            if digits.len() != FINGERPRINT_DIGITS || !digits.bytes().all(is_hex) {
                return None;
            }
            Some(Self {
                fingerprint: u64::from_str_radix(digits, 16).ok()?,
                revision: revision.parse().ok()?,
            })
        };
        parse().ok_or(Error::LineBase)
    }
}

fn fingerprint(key: &RowKey, row: &Row) -> u64 {
    let bytes = postcard::to_allocvec(&(key, row)).expect("rows can be encoded");
    let digest = Sha256::digest(&bytes);
    let bytes = digest.iter().take(FINGERPRINT_BYTES);
    bytes.fold(0, |number, &byte| number << 8 | u64::from(byte))
}
