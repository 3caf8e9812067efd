/// Time for which a proven document may be served from.
///
/// The time counts from the sending of the question that the proof answers, so that the lease ends
/// before any document that was accepted after the proof is one lease old.
#[derive(Debug, Clone, Copy)]
pub struct Lease {
    length_ms: u64,
    proven_ms: Option<u64>,
}

impl Lease {
    /// A lease that is not valid yet.
    #[must_use]
    pub fn new(length_ms: u64) -> Self {
        Self {
            length_ms,
            proven_ms: None,
        }
    }

    /// Renews the lease by a proof that was asked for at a time.
    pub fn renew(&mut self, asked_ms: u64) {
        self.proven_ms = self.proven_ms.max(Some(asked_ms));
    }

    /// Whether it is valid.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < self.length_ms)
    }

    /// Time since the latest proof was asked for.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.proven_ms
            .map(|proven_ms| now_ms.saturating_sub(proven_ms))
    }
}
