/// Shortest time between two full reports of running permits to an owner.
pub(crate) const PROGRESS_INTERVAL_MS_MIN: u64 = 200;

/// Longest time between two full reports of running permits to an owner.
pub(crate) const PROGRESS_INTERVAL_MS_MAX: u64 = 1_000;

/// Time without a report from an instance after which an owner ends its permits.
pub(crate) const PERMIT_LEASE_MS: u64 = 3_000;

/// Time after a grant within which a full report must list the permit.
pub(crate) const PERMIT_CONFIRMATION_MS: u64 = 2_500;

/// Time for which a new owner collects reports of running permits before it grants any.
pub(crate) const PERMIT_ADOPTION_MS: u64 = 1_200;
