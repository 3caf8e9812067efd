use std::fmt::{self, Display, Formatter};
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifier of one generation; never reused.
///
/// Its text form has 32 lower-case hexadecimal digits.
#[derive(Debug, Clone, Copy, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct GenerationId(pub u128);

impl Display for GenerationId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<GenerationId> for String {
    fn from(id: GenerationId) -> Self {
        id.to_string()
    }
}

impl FromStr for GenerationId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for GenerationId {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, ParseIntError> {
        text.parse()
    }
}
