use std::fmt::{self, Debug, Display, Formatter};

use names::CustomerName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::OperatorName;

/// Key of a customer, stored as its hash.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerKey {
    /// Whom the key names.
    pub customer: CustomerName,
}

/// SHA-256 of a key; keys are long random strings, so that no salt is needed.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hash of a key as its holder sends it.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    pub(crate) fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Debug for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({self})")
    }
}

impl Display for KeyHash {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Key of an operator, stored as its hash.
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorKey {
    /// Whom the key names.
    pub operator: OperatorName,
    /// What the operator may do.
    pub role: Role,
}

/// What an operator may do; each role includes those before it.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Look at everything but keys.
    Read,
    /// Change rows.
    Edit,
    /// Change kinds and keys, drain instances.
    Operate,
}
