use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use names::{CustomerName, Incarnation, InstanceName, RequestId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Error, IDEMPOTENCY_KEY_BYTES_MAX};

/// One request of one run of an instance, which claims a key.
///
/// The same attempt may claim twice, when its first answer is lost.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// The run of the instance.
    pub claimant: Claimant,
    /// The request within that run.
    pub request: RequestId,
}

/// Names one call that may not be repeated.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The customer, who chooses the key.
    pub customer: CustomerName,
    /// The key as the customer sends it.
    pub idempotency_key: IdempotencyKey,
}

impl ClaimKey {
    pub(crate) fn length_bytes(&self) -> usize {
        self.customer.as_str().len() + self.idempotency_key.as_str().len()
    }
}

/// One run of an instance.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimant {
    /// The instance.
    pub instance: InstanceName,
    /// Its run.
    pub incarnation: Incarnation,
}

/// Key that a customer chooses for one call: 1 to 255 visible ASCII characters.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(Box<str>);

impl IdempotencyKey {
    /// Checks and takes a key.
    ///
    /// # Errors
    ///
    /// Refuses an empty or long key and characters that keys may not hold.
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

/// SHA-256 of what makes two requests the same: method, path with query, and body.
#[derive(Clone, Copy, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Digest of a request.
    #[must_use]
    pub fn of(method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        // A length before each part keeps one part from running into the next.
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
