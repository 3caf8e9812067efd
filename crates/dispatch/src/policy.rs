use crate::{Action, Event};

/// A way to decide, driven by events.
pub trait Policy {
    /// Takes one event at `now_us` and appends what follows from it to `actions`.
    ///
    /// Time never runs backwards between calls.
    fn handle(&mut self, now_us: u64, event: Event<'_>, actions: &mut Vec<Action>);

    /// Name used in reports.
    fn name(&self) -> &str;

    /// When the policy next wants an `Event::Tick`, if nothing else happens before.
    fn next_tick_us(&self) -> Option<u64>;
}
