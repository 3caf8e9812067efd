use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use names::{CustomerName, Incarnation, InstanceName, RequestId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Error, IDEMPOTENCY_KEY_BYTES_MAX};

/// Attempt of one request to run a call.
///
/// An attempt may claim the same key again if the first answer was lost.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Process of the instance that handles the request.
    pub claimant: Claimant,
    /// Request within that process.
    pub request: RequestId,
}

/// Customer and idempotency key that identify a call to run at most once.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// Customer who chose the key.
    pub customer: CustomerName,
    /// Idempotency key as sent by the customer.
    pub idempotency_key: IdempotencyKey,
}

impl ClaimKey {
    pub(crate) fn length_bytes(&self) -> usize {
        self.customer.as_str().len() + self.idempotency_key.as_str().len()
    }
}

/// Process of an instance that claims calls.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimant {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Process start of the instance.
    pub incarnation: Incarnation,
}

/// Idempotency key that a customer chooses for one call: 1 to 255 visible ASCII characters.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Validates a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the key is empty, too long or has a character other than visible ASCII.
    pub fn new(key: &str) -> Result<Self, Error> {
        if key.is_empty() || key.len() > IDEMPOTENCY_KEY_BYTES_MAX {
            return Err(Error::KeyLength {
                length_bytes: key.len(),
            });
        }
        if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::KeyCharacter);
        }
        Ok(Self(key.into()))
    }

    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.0.into()
    }
}

impl FromStr for IdempotencyKey {
    type Err = Error;

    fn from_str(key: &str) -> Result<Self, Error> {
        Self::new(key)
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = Error;

    fn try_from(key: String) -> Result<Self, Error> {
        Self::new(&key)
    }
}

/// SHA-256 of a request's method, path with query, and body; equal requests have equal digests.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Digest of a request.
    #[must_use]
    pub fn of(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // The length prefix of each part makes the boundaries between parts unambiguous.
        for part in [method.as_bytes(), path_and_query.as_bytes(), body] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl Debug for RequestDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({self})")
    }
}

impl Display for RequestDigest {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
