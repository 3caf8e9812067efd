use thiserror::Error;

/// Why telemetry cannot start or answer.
#[derive(Debug, Error)]
pub enum Error {
    /// The exporter refused its settings.
    #[error("metrics cannot be exported: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The level is not one of the known ones.
    #[error("log level `{level}` is not one of error, warning, info, debug, trace")]
    Level {
        /// The refused level.
        level: String,
    },
    /// The metrics could not be written as text.
    #[error("metrics cannot be written as text: {0}")]
    Text(#[from] prometheus::Error),
}
