/// Where settings come from: a flag first, then an environment variable.
pub(crate) trait Environment {
    /// Value of an environment variable; none where it is unset or empty.
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

/// Prefix of all environment variables of the program.
const PREFIX: &str = "GENTIANCLEAT_";

/// Name of the environment variable that stands for `flag`.
pub(crate) fn variable_name(flag: &str) -> String {
    format!("{PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// Value of a flag, or of the environment variable that stands for it.
pub(crate) fn value(
    flag: &str,
    given: Option<&String>,
    environment: &dyn Environment,
) -> Option<String> {
    given
        .cloned()
        .or_else(|| environment.variable(&variable_name(flag)))
}
