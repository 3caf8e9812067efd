use std::fmt::Display;

use thiserror::Error;

use crate::problem::Problem;

/// Why a command ended without success.
#[derive(Debug, Error)]
pub(crate) enum Error {
    /// The command could not be carried out.
    #[error("gentiancleat: {0}")]
    Failed(String),
    /// Arguments, settings or a table are wrong; one line per problem.
    #[error("{0}")]
    Usage(String),
}

impl Error {
    pub(crate) fn failed(error: impl Display) -> Self {
        Self::Failed(error.to_string())
    }

    /// One line for each problem.
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

impl From<Vec<Problem>> for Error {
    fn from(problems: Vec<Problem>) -> Self {
        Self::problems(&problems)
    }
}
