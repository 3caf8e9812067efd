use thiserror::Error;

/// Why metrics or logs cannot be set up, or metrics cannot be written.
#[derive(Debug, Error)]
pub enum Error {
    /// The Prometheus exporter rejected its settings.
    #[error("metrics cannot be exported: {0}")]
    Exporter(#[from] opentelemetry_sdk::error::OTelSdkError),
    /// The text is not a log level.
    #[error("log level `{level}` is not one of error, warning, info, debug, trace")]
    Level {
        /// The text that should name a level.
        level: String,
    },
    /// Encoding the metrics in the text format failed.
    #[error("metrics cannot be written as text: {0}")]
    Text(#[from] prometheus::Error),
}
