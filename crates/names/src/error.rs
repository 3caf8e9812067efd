use thiserror::Error;

use crate::NAME_BYTES_MAX;

/// Why a string is not a name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// Holds a character that names may not hold.
    #[error("name `{name}` holds the character {character:?}, which names may not hold")]
    Character {
        /// The first such character.
        character: char,
        /// The refused string, escaped.
        name: String,
    },
    /// Holds no character.
    #[error("name is empty")]
    Empty,
    /// Is longer than `NAME_BYTES_MAX`.
    #[error("name is {length_bytes} bytes long, at most {NAME_BYTES_MAX} are allowed")]
    Length {
        /// Length of the refused string.
        length_bytes: usize,
    },
    /// Begins or ends with a space.
    #[error("name `{name}` begins or ends with a space")]
    Space {
        /// The refused string.
        name: String,
    },
}
