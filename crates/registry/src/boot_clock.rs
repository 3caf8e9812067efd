use rustix::time::{ClockId, clock_gettime};

/// Time since the machine booted; it includes the time in which the machine is suspended.
///
/// # Panics
///
/// Panics if the system reports a negative time.
#[must_use]
pub fn time_since_boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).expect("boot time is not negative");
    let nanoseconds = u64::try_from(now.tv_nsec).expect("boot time is not negative");
    seconds * 1_000 + nanoseconds / 1_000_000
}
