//! Orders the requests that wait for room at one instance.
//!
//! Pattern: a burst that fills all engines for seconds. The most urgent class goes first, the
//! oldest request of a class before younger ones, and a request that does not fit is passed over
//! only by requests of its own class, so that a large one is not starved by small ones of lower
//! rank.

/// A request that waits.
#[derive(Debug)]
pub struct Waiter<T> {
    /// Number in the order of arrival.
    pub number: u64,
    /// Rank, 0 first.
    pub priority: u32,
    /// Name of the service.
    pub service: String,
    /// What the request is woken with.
    pub payload: T,
}

/// Requests that wait, the first to be served first.
#[derive(Debug)]
pub struct WaitQueue<T> {
    next_number: u64,
    /// Sorted by priority and number.
    waiters: Vec<Waiter<T>>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            next_number: 0,
            waiters: Vec::new(),
        }
    }
}

impl<T> WaitQueue<T> {
    /// Adds a request, and gives its number.
    pub fn push(&mut self, priority: u32, service: &str, payload: T) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let at = self
            .waiters
            .partition_point(|known| (known.priority, known.number) < (priority, number));
        let waiter = Waiter {
            number,
            priority,
            service: service.to_owned(),
            payload,
        };
        self.waiters.insert(at, waiter);
        number
    }

    /// Removes a request that gave up.
    pub fn remove(&mut self, number: u64) {
        self.waiters.retain(|waiter| waiter.number != number);
    }

    /// Requests of a service that are served before a new one of this rank.
    #[must_use]
    pub fn count_ahead(&self, priority: u32, service: &str) -> usize {
        let ahead = |waiter: &&Waiter<T>| waiter.service == service && waiter.priority <= priority;
        self.waiters.iter().filter(ahead).count()
    }

    /// Offers room to the requests in their order; `try_place` takes those that fit.
    ///
    /// Once a request of a service found no room, those of lower rank of that service wait too.
    pub fn serve(&mut self, mut try_place: impl FnMut(&Waiter<T>) -> bool) -> Vec<Waiter<T>> {
        let mut blocked: Vec<(String, u32)> = Vec::new();
        let mut served = Vec::new();
        let mut at = 0;
        while at < self.waiters.len() {
            let waiter = &self.waiters[at];
            let is_blocked = blocked
                .iter()
                .any(|(service, rank)| *service == waiter.service && *rank < waiter.priority);
            if !is_blocked && try_place(waiter) {
                served.push(self.waiters.remove(at));
                continue;
            }
            if !is_blocked {
                blocked.push((waiter.service.clone(), waiter.priority));
            }
            at += 1;
        }
        served
    }

    /// Requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
