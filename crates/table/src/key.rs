use std::fmt::{self, Debug, Display, Formatter};
use std::str::FromStr;

use names::CustomerName;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{Error, OperatorName};

/// Owner of a customer's API key, which is stored under its [`KeyHash`].
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerKey {
    /// Customer that the key belongs to.
    pub customer: CustomerName,
}

/// SHA-256 of an API key; the keys are long random strings, so no salt is needed.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hash of an API key in plain text.
    #[must_use]
    pub fn of(secret: &str) -> Self {
        Self(Sha256::digest(secret.as_bytes()).into())
    }

    pub(crate) fn equals_in_constant_time(&self, other: &Self) -> bool {
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

impl FromStr for KeyHash {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.as_bytes();
        let mut hash = [0; 32];
        if digits.len() != 2 * hash.len() {
            return Err(Error::KeyHash);
        }
        for (byte, pair) in hash.iter_mut().zip(digits.chunks_exact(2)) {
            *byte = hex_digit(pair[0])? * 16 + hex_digit(pair[1])?;
        }
        Ok(Self(hash))
    }
}

/// Owner and role of an operator's API key, which is stored under its [`KeyHash`].
#[derive(Debug, Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorKey {
    /// Operator that the key belongs to.
    pub operator: OperatorName,
    /// Permissions of the operator.
    pub role: Role,
}

/// Permissions of an operator; each role includes the roles before it.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// May read everything except keys.
    Read,
    /// May also change rows.
    Edit,
    /// May also change kinds and keys, and drain instances.
    Operate,
}

fn hex_digit(byte: u8) -> Result<u8, Error> {
    let digit = char::from(byte).to_digit(16).ok_or(Error::KeyHash)?;
    Ok(u8::try_from(digit).expect("a hexadecimal digit is below 16"))
}
