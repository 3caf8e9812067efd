/// Point at which an attempt failed, in the order of its steps.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailurePoint {
    /// No endpoint was found.
    Resolve,
    /// The connection was not established.
    Connect,
    /// The connection was established, and closed before the kernel accepted a byte of the request.
    Unwritten,
    /// The kernel accepted some bytes of the request.
    PartlyWritten,
    /// The kernel accepted the whole request; no byte of a response was received.
    Written,
    /// The head of the response began and is incomplete, or it is malformed.
    Head,
    /// The head of the response is complete; its body is incomplete or malformed.
    Body,
    /// The whole response was received.
    End,
}

impl FailurePoint {
    /// All points, in order.
    pub const ALL: [Self; 8] = [
        Self::Resolve,
        Self::Connect,
        Self::Unwritten,
        Self::PartlyWritten,
        Self::Written,
        Self::Head,
        Self::Body,
        Self::End,
    ];
}

/// Whether a request ran, as reported to its client; from best to worst for a retry.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum Outcome {
    /// No endpoint ran the request.
    NotRun,
    /// An endpoint may have run the request.
    Unknown,
    /// An endpoint ran the request, wholly or in part.
    Ran,
}

impl Outcome {
    /// Text of the outcome header and of problem documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns the outcome of an attempt that failed at `point`.
#[must_use]
pub fn outcome_at(point: FailurePoint) -> Outcome {
    match point {
        FailurePoint::Resolve | FailurePoint::Connect | FailurePoint::Unwritten => Outcome::NotRun,
        FailurePoint::PartlyWritten | FailurePoint::Written | FailurePoint::Head => {
            Outcome::Unknown
        }
        FailurePoint::Body | FailurePoint::End => Outcome::Ran,
    }
}
