//! Values of flags and of the environment variables that replace them.

/// Source of environment variables.
pub(crate) trait Environment {
    /// Value of an environment variable; none if it is unset or empty.
    fn variable(&self, name: &str) -> Option<String>;
}

/// The environment of the process.
#[derive(Debug)]
pub(crate) struct ProcessEnvironment;

impl Environment for ProcessEnvironment {
    fn variable(&self, name: &str) -> Option<String> {
        std::env::var(name).ok().filter(|value| !value.is_empty())
    }
}

/// Prefix of the environment variables that replace flags.
const VARIABLE_PREFIX: &str = "GENTIANCLEAT_";

/// Name of the environment variable that replaces `flag`, such as `GENTIANCLEAT_LOG_LEVEL`.
pub(crate) fn variable_name(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// Value of a flag, or of its environment variable if the flag is not given.
pub(crate) fn flag_or_variable(
    flag: &str,
    flag_value: Option<&String>,
    environment: &dyn Environment,
) -> Option<String> {
    flag_value
        .cloned()
        .or_else(|| environment.variable(&variable_name(flag)))
}
