use names::{EndpointName, Incarnation};
use thiserror::Error;

/// Why an announcement is refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum Error {
    /// The announcement is older than the last accepted one.
    #[error(
        "announcement {sequence} of endpoint `{endpoint}` incarnation {incarnation} is older than the last one accepted"
    )]
    Outdated {
        /// The endpoint.
        endpoint: EndpointName,
        /// Its incarnation in the announcement.
        incarnation: Incarnation,
        /// Its sequence in the announcement.
        sequence: u64,
    },
}
