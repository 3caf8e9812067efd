use std::fmt::{self, Display, Formatter};

use crate::source::variable_name;

/// One thing that is wrong with the settings.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct Problem {
    flag: &'static str,
    text: String,
}

impl Problem {
    pub(crate) fn new(flag: &'static str, text: impl Into<String>) -> Self {
        Self {
            flag,
            text: text.into(),
        }
    }
}

impl Display for Problem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { flag, text } = self;
        write!(f, "--{flag} ({}): {text}", variable_name(flag))
    }
}
