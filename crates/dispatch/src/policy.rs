use crate::{Action, Event};

/// A scheduling policy for the requests of a shard, driven by events.
pub trait Policy {
    /// Handles one event and appends the resulting actions to `actions`.
    ///
    /// `now_us` must not decrease between calls.
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>);

    /// Name of the policy in reports.
    fn name(&self) -> &str;

    /// Time at which the policy needs an `Event::Tick`, unless another event comes first.
    fn next_tick_us(&self) -> Option<u64>;
}
