use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Events in order of time; equal times keep the order of their insertion.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    heap: BinaryHeap<Reverse<(u64, u64, usize)>>,
    free: Vec<usize>,
    next: u64,
    slots: Vec<Option<T>>,
}

impl<T> Queue<T> {
    pub(crate) fn new() -> Self {
        Self {
            heap: BinaryHeap::new(),
            free: Vec::new(),
            next: 0,
            slots: Vec::new(),
        }
    }

    pub(crate) fn pop(&mut self) -> Option<(u64, T)> {
        let Reverse((at_us, _, slot)) = self.heap.pop()?;
        self.free.push(slot);
        let event = self.slots[slot].take().expect("a queued slot is full");
        Some((at_us, event))
    }

    pub(crate) fn push(&mut self, at_us: u64, event: T) {
        let slot = self.free.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(event);
        self.heap.push(Reverse((at_us, self.next, slot)));
        self.next += 1;
    }
}
