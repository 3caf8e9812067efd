use std::fmt::{self, Display, Formatter};

use crate::environment::variable_name;

/// Problem with the value of one flag or of its environment variable.
#[derive(Debug, Clone, Eq, PartialEq)]
pub struct SettingProblem {
    flag: &'static str,
    text: String,
}

impl SettingProblem {
    pub(crate) fn new(flag: &'static str, text: impl Into<String>) -> Self {
        Self {
            flag,
            text: text.into(),
        }
    }
}

impl Display for SettingProblem {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self { flag, text } = self;
        write!(f, "--{flag} ({}): {text}", variable_name(flag))
    }
}
