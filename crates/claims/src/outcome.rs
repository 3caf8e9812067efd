use serde::{Deserialize, Serialize};

use crate::{STORED_BODY_BYTES_MAX, STORED_HEADERS_BYTES_MAX};

/// Headers that are stored with an outcome; lower case and sorted for the binary search.
const STORED_HEADERS: [&str; 6] = [
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "location",
];

/// Body of a stored outcome.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoredBody {
    /// The whole body.
    Kept(Vec<u8>),
    /// The body was longer than [`STORED_BODY_BYTES_MAX`] and is not stored.
    TooLong {
        /// Length of the body.
        length_bytes: u64,
    },
}

/// One header of a stored outcome.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredHeader {
    /// Name in lower case.
    pub name: String,
    /// Value as received from the service.
    pub value: Vec<u8>,
}

/// HTTP response of a finished call, returned to repeats of the call.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredOutcome {
    /// Response body.
    pub body: StoredBody,
    /// Response headers that describe the body.
    pub headers: Vec<StoredHeader>,
    /// HTTP status code.
    pub status: u16,
}

impl StoredOutcome {
    /// Most bytes of the body and headers of a stored outcome.
    pub(crate) const LENGTH_BYTES_MAX: usize = STORED_BODY_BYTES_MAX + STORED_HEADERS_BYTES_MAX;

    /// Removes what is not stored: a body that is too long, and headers that are not listed or exceed
    /// [`STORED_HEADERS_BYTES_MAX`].
    #[must_use]
    pub fn trim_to_limits(self) -> Self {
        let body = match self.body {
            StoredBody::Kept(body) if body.len() > STORED_BODY_BYTES_MAX => StoredBody::TooLong {
                length_bytes: body.len() as u64,
            },
            body => body,
        };
        let mut remaining_bytes = STORED_HEADERS_BYTES_MAX;
        let mut headers = self.headers;
        headers.retain(|header| {
            let is_stored = STORED_HEADERS.binary_search(&header.name.as_str()).is_ok();
            let length_bytes = header.length_bytes();
            let is_kept = is_stored && length_bytes <= remaining_bytes;
            remaining_bytes -= if is_kept { length_bytes } else { 0 };
            is_kept
        });
        Self {
            body,
            headers,
            status: self.status,
        }
    }

    pub(crate) fn length_bytes(&self) -> usize {
        let body_bytes = match &self.body {
            StoredBody::Kept(body) => body.len(),
            StoredBody::TooLong { .. } => 0,
        };
        let header_bytes: usize = self.headers.iter().map(StoredHeader::length_bytes).sum();
        body_bytes + header_bytes
    }
}

impl StoredHeader {
    fn length_bytes(&self) -> usize {
        self.name.len() + self.value.len()
    }
}
