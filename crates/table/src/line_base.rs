use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use sha2::{Digest, Sha256};

use crate::{Error, Revision, Row, RowKey};

const FINGERPRINT_BYTES: usize = 6;
const FINGERPRINT_DIGITS: usize = 2 * FINGERPRINT_BYTES;

/// What a line of a file was when it was written, such as `r17-9f2c41aa03bd`.
///
/// Tells lines that were edited from those that were left as they were.
#[derive(Debug, Clone, Copy, Eq, PartialEq)]
pub struct LineBase {
    fingerprint: u64,
    /// Revision of the table when the file was written.
    pub revision: Revision,
}

impl LineBase {
    /// Base of a line that is written at a revision of the table.
    #[must_use]
    pub fn new(revision: Revision, key: &RowKey, row: &Row) -> Self {
        Self {
            fingerprint: fingerprint(key, row),
            revision,
        }
    }

    /// Whether the line still is what was written.
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
    let bytes = postcard::to_allocvec(&(key, row)).expect("rows encode without failure");
    let digest = Sha256::digest(&bytes);
    let bytes = digest.iter().take(FINGERPRINT_BYTES);
    bytes.fold(0, |number, &byte| number << 8 | u64::from(byte))
}
