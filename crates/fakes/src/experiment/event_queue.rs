use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Queue of events in order of time; events of equal times keep their order of insertion.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    free_slots: Vec<usize>,
    /// Time in microseconds, insertion number and slot of each event.
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    next_insertion: u64,
    slots: Vec<Option<T>>,
}

impl<T> EventQueue<T> {
    pub(crate) fn new() -> Self {
        Self {
            free_slots: Vec::new(),
            heap: BinaryHeap::new(),
            next_insertion: 0,
            slots: Vec::new(),
        }
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse((at_us, _, slot)) = self.heap.pop()?;
        self.free_slots.push(slot);
        let event = self.slots[slot]
            .take()
            .expect("the slot of a queued event is occupied");
        Some((at_us, event))
    }

    pub(crate) fn push(&mut self, at_us: u64, event: T) {
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.heap.push(Reverse((at_us, self.next_insertion, slot)));
        self.next_insertion += 1;
    }
}
