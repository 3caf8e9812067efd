use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::Error;

/// Longest name, in UTF-8 bytes.
pub const NAME_BYTES_MAX: usize = 128;

fn validate(name: &str) -> Result<(), Error> {
    if name.is_empty() {
        return Err(Error::Empty);
    }
    if name.len() > NAME_BYTES_MAX {
        return Err(Error::Length {
            length_bytes: name.len(),
        });
    }
    if name.starts_with(' ') || name.ends_with(' ') {
        return Err(Error::Space {
            name: name.to_owned(),
        });
    }
    let invalid_character = name
        .chars()
        .find(|&c| !(c.is_alphanumeric() || matches!(c, '.' | '_' | '-' | ' ')));
    match invalid_character {
        Some(character) => Err(Error::Character {
            character,
            name: name.escape_debug().to_string(),
        }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(Box<str>);

        impl $type {
            /// Validates a name.
            ///
            /// # Errors
            ///
            /// Returns the first rule that the string breaks.
            pub fn new(name: &str) -> Result<Self, Error> {
                validate(name)?;
                Ok(Self(name.into()))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Display for $type {
            fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0.into()
            }
        }

        impl FromStr for $type {
            type Err = Error;

            fn from_str(name: &str) -> Result<Self, Error> {
                Self::new(name)
            }
        }

        impl TryFrom<String> for $type {
            type Error = Error;

            fn try_from(name: String) -> Result<Self, Error> {
                Self::new(&name)
            }
        }
    };
}

name_type!(
    /// Name of a customer.
    CustomerName
);
name_type!(
    /// Name of a data centre.
    DataCentreName
);
name_type!(
    /// Name under which an endpoint announces itself.
    EndpointName
);
name_type!(
    /// Name of a gentiancleat instance.
    InstanceName
);
name_type!(
    /// Name of a kind of work, such as `syllabus` or `advice`.
    KindName
);
name_type!(
    /// Name of a model.
    ModelName
);
name_type!(
    /// Name of a region.
    RegionName
);
name_type!(
    /// Name of an HTTP service that is not an LLM engine.
    ServiceName
);
