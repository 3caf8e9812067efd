use std::fmt::Display;

use thiserror::Error;

use crate::setting_problem::SettingProblem;

/// Failure of a command, which determines the exit code.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// The command failed although its arguments are valid.
    #[error("gentiancleat: {0}")]
    Failed(String),
    /// Arguments, settings or a table are invalid; one line per problem.
    #[error("{0}")]
    Usage(String),
}

impl Error {
    pub(crate) fn failed(error: impl Display) -> Self {
        Self::Failed(error.to_string())
    }

    /// Returns a usage error with one line per problem.
    pub(crate) fn problems<T: Display>(problems: &[T]) -> Self {
        let lines: Vec<String> = problems
            .iter()
            .map(|problem| format!("gentiancleat: {problem}"))
            .collect();
        Self::Usage(lines.join("\n"))
    }

    pub(crate) fn usage(text: &str) -> Self {
        Self::Usage(format!("gentiancleat: {text}"))
    }
}

impl From<Vec<SettingProblem>> for Error {
    fn from(problems: Vec<SettingProblem>) -> Self {
        Self::problems(&problems)
    }
}
