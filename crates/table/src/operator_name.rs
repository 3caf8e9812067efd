use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use names::InstanceName;
use serde::{Deserialize, Serialize};

/// Name of an operator, validated like the names of the crate `names`.
#[derive(Debug, Clone, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct OperatorName(InstanceName);

impl OperatorName {
    /// Validates a name.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the string breaks.
    pub fn new(name: &str) -> Result<Self, names::Error> {
        InstanceName::new(name).map(Self)
    }

    /// The name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

impl Display for OperatorName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for OperatorName {
    type Err = names::Error;

    fn from_str(name: &str) -> Result<Self, names::Error> {
        Self::new(name)
    }
}
