//! Orders the requests that wait for free capacity at one instance.
//!
//! A burst can fill all engines for seconds. Requests of the most urgent priority go first, and
//! within a priority the oldest. A request that does not fit lets only requests of its own priority
//! pass, so that small requests of lower priority do not starve a large one.

/// A request in the queue.
#[derive(Debug)]
pub struct Waiter<T> {
    /// Number in the order of arrival.
    pub number: u64,
    /// Value that the queue returns with the request when it is served.
    pub payload: T,
    /// Priority, 0 first.
    pub priority: u32,
    /// Name of the service.
    pub service: String,
}

/// Queue of waiting requests, ordered by priority and arrival.
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
    /// Adds a request and returns its number.
    pub fn push(&mut self, priority: u32, service: &str, payload: T) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        let at = self
            .waiters
            .partition_point(|waiter| (waiter.priority, waiter.number) < (priority, number));
        let waiter = Waiter {
            number,
            payload,
            priority,
            service: service.to_owned(),
        };
        self.waiters.insert(at, waiter);
        number
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, number: u64) {
        self.waiters.retain(|waiter| waiter.number != number);
    }

    /// Requests of a service that are served before a new one of this priority.
    #[must_use]
    pub fn count_ahead(&self, priority: u32, service: &str) -> usize {
        let is_ahead =
            |waiter: &&Waiter<T>| waiter.service == service && waiter.priority <= priority;
        self.waiters.iter().filter(is_ahead).count()
    }

    /// Calls `try_place` for the requests in their order, and removes those that it places.
    ///
    /// Once a request of a service is not placed, requests of that service with lower priority are
    /// skipped.
    pub fn serve(&mut self, mut try_place: impl FnMut(&Waiter<T>) -> bool) -> Vec<Waiter<T>> {
        let mut blocked: Vec<(String, u32)> = Vec::new();
        let mut served = Vec::new();
        let mut at = 0;
        while at < self.waiters.len() {
            let waiter = &self.waiters[at];
            let is_blocked = blocked.iter().any(|(service, priority)| {
                *service == waiter.service && *priority < waiter.priority
            });
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

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
