/// Time in which a document may be used after it was confirmed to be the newest.
///
/// A lease starts when the confirmation is requested, not when it arrives. So it ends before any
/// document that was accepted after the confirmation is older than one lease.
///
/// While a newer document is known, the lease is shorter: a newer one is in force everywhere sooner than
/// instances without a connection have to stop.
///
/// A confirmation may come before the document that it is about. It counts, from its request, once that
/// document or a newer one is in force.
#[derive(Debug, Clone)]
pub struct Lease {
    /// Confirmations of documents that are not in force yet, sorted by version; one each.
    confirmations: Vec<Confirmation>,
    duration_ms: u64,
    /// Newest version that is known.
    latest_version: u64,
    outdated_duration_ms: u64,
    requested_at_ms: Option<u64>,
    version_in_force: u64,
}

/// Answer that a version was the newest at some time after the request.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    requested_at_ms: u64,
    version: u64,
}

impl Lease {
    /// Creates a lease that is not valid until a document is in force that was confirmed.
    #[must_use]
    pub fn new(duration_ms: u64, outdated_duration_ms: u64) -> Self {
        Self {
            confirmations: Vec::new(),
            duration_ms,
            latest_version: 0,
            outdated_duration_ms,
            requested_at_ms: None,
            version_in_force: 0,
        }
    }

    /// Records that a document with this version was accepted.
    pub fn record_version(&mut self, version: u64) {
        self.latest_version = self.latest_version.max(version);
    }

    /// Records a confirmation, requested at this time, that a version is the newest.
    pub fn confirm(&mut self, requested_at_ms: u64, version: u64) {
        self.record_version(version);
        if version <= self.version_in_force {
            self.renew(requested_at_ms);
            return;
        }
        let confirmation = Confirmation {
            requested_at_ms,
            version,
        };
        match self
            .confirmations
            .binary_search_by_key(&version, |known| known.version)
        {
            Ok(at) => {
                let known = &mut self.confirmations[at].requested_at_ms;
                *known = requested_at_ms.max(*known);
            }
            Err(at) => self.confirmations.insert(at, confirmation),
        }
    }

    /// Records that the document with this version is in force.
    pub fn put_in_force(&mut self, version: u64) {
        self.record_version(version);
        self.version_in_force = version;
        let covered = self
            .confirmations
            .partition_point(|known| known.version <= version);
        let requests = self.confirmations.drain(..covered);
        if let Some(requested_at_ms) = requests.map(|known| known.requested_at_ms).max() {
            self.renew(requested_at_ms);
        }
    }

    /// Whether the lease is valid at this time.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        let duration_ms = if self.latest_version > self.version_in_force {
            self.duration_ms.min(self.outdated_duration_ms)
        } else {
            self.duration_ms
        };
        self.age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < duration_ms)
    }

    /// Time since the request for the latest confirmation; `None` before the first.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.requested_at_ms
            .map(|requested_at_ms| now_ms.saturating_sub(requested_at_ms))
    }

    fn renew(&mut self, requested_at_ms: u64) {
        self.requested_at_ms = self.requested_at_ms.max(Some(requested_at_ms));
    }
}
