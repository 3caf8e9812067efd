use thiserror::Error;

use crate::NAME_BYTES_MAX;

/// Why a string was rejected as a name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The string has a character that is not allowed in names.
    #[error("name `{name}` holds the character {character:?}, which names may not hold")]
    Character {
        /// The first such character.
        character: char,
        /// The rejected string, escaped.
        name: String,
    },
    /// The string is empty.
    #[error("name is empty")]
    Empty,
    /// The string is longer than `NAME_BYTES_MAX`.
    #[error("name is {length_bytes} bytes long, at most {NAME_BYTES_MAX} are allowed")]
    Length {
        /// Length of the rejected string.
        length_bytes: usize,
    },
    /// The string begins or ends with a space.
    #[error("name `{name}` begins or ends with a space")]
    Space {
        /// The rejected string.
        name: String,
    },
}
