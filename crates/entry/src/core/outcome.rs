/// Where an attempt failed, in the order of its life.
#[derive(Debug, Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailurePoint {
    /// No endpoint was found.
    Resolve,
    /// The connection was not made.
    Connect,
    /// The connection was made and closed before the kernel took a byte of the request.
    Unwritten,
    /// The kernel took some bytes of the request.
    PartlyWritten,
    /// The kernel took the whole request; no byte of an answer came.
    Written,
    /// The head of the answer began and is not whole, or is malformed.
    Head,
    /// The head of the answer is whole; its body is not, or is malformed.
    Body,
    /// The whole answer came.
    End,
}

impl FailurePoint {
    /// Every point, in order.
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

/// What a caller is told about the running of a request, from best to worst for a repeat.
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
    /// Text of the header and of problem documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

/// The outcome of an attempt that failed at `point`.
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
