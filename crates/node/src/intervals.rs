/// Shortest time between reports of all running permits to their owner.
pub(crate) const PROGRESS_INTERVAL_MS_MIN: u64 = 200;

/// Longest time between reports of all running permits to their owner.
pub(crate) const PROGRESS_INTERVAL_MS_MAX: u64 = 1_000;

/// Time without a report of an instance after which its permits lapse.
pub(crate) const PERMIT_LEASE_MS: u64 = 3_000;

/// Time after a grant within which a report must name the permit.
pub(crate) const PERMIT_CONFIRMATION_MS: u64 = 2_500;

/// Time for which a new owner collects reports of running permits before it grants.
pub(crate) const PERMIT_ADOPTION_MS: u64 = 1_200;
