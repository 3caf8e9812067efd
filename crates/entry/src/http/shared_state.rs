use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use names::{EndpointName, GenerationId};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::clock::Clock;
use crate::core::{IntervalHistogram, RetryBudgets, StallTimeouts};
use crate::dependencies::Dependencies;
use crate::settings::Settings;

/// Most endpoints whose intervals are kept; all are dropped when this number is reached.
const ENDPOINTS_MAX: usize = 4_096;

/// State shared by all requests of one entry.
pub(crate) struct SharedState {
    /// Requests and cancellations, which may outlive the connection of their client.
    pub(crate) background_tasks: TaskTracker,
    pub(crate) clock: Clock,
    pub(crate) dependencies: Dependencies,
    pub(crate) settings: Settings,
    /// Sorted by endpoint name.
    endpoint_intervals: Mutex<Vec<EndpointIntervals>>,
    is_draining: AtomicBool,
    random: Mutex<Xoshiro256PlusPlus>,
    retry_budgets: Mutex<RetryBudgets>,
    running_requests: watch::Sender<usize>,
}

/// Intervals measured in the event streams of one endpoint.
#[derive(Debug)]
struct EndpointIntervals {
    chunk_intervals: IntervalHistogram,
    endpoint: EndpointName,
    token_intervals: IntervalHistogram,
}

/// Guard that counts a request as running until it is dropped.
pub(crate) struct RunningRequest {
    running_requests: watch::Sender<usize>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.running_requests.send_modify(|count| *count -= 1);
    }
}

impl SharedState {
    pub(crate) fn retry_budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.retry_budgets)
    }

    pub(crate) fn begin_drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Counts a request as running; none if the entry is at its limit.
    pub(crate) fn try_begin_request(&self) -> Option<RunningRequest> {
        let requests_max = self.settings.limits.requests_max;
        let is_counted = self.running_requests.send_if_modified(|count| {
            let is_admitted = *count < requests_max;
            *count += usize::from(is_admitted);
            is_admitted
        });
        is_counted.then(|| RunningRequest {
            running_requests: self.running_requests.clone(),
        })
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    pub(crate) fn new(settings: Settings, dependencies: Dependencies) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        Self {
            background_tasks: TaskTracker::new(),
            clock: Clock::start(),
            dependencies,
            endpoint_intervals: Mutex::default(),
            is_draining: AtomicBool::new(false),
            random: Mutex::new(random),
            retry_budgets: Mutex::default(),
            running_requests: watch::Sender::new(0),
            settings,
        }
    }

    pub(crate) fn next_generation_id(&self) -> GenerationId {
        let mut random = lock(&self.random);
        let high = u128::from(random.next_u64());
        GenerationId(high << 64 | u128::from(random.next_u64()))
    }

    pub(crate) fn next_seed(&self) -> u64 {
        lock(&self.random).next_u64()
    }

    /// Stall timeouts that follow from the intervals recorded at an endpoint.
    pub(crate) fn stall_timeouts(&self, endpoint: &EndpointName) -> StallTimeouts {
        let endpoint_intervals = lock(&self.endpoint_intervals);
        match endpoint_intervals.binary_search_by(|intervals| intervals.endpoint.cmp(endpoint)) {
            Ok(position) => {
                let intervals = &endpoint_intervals[position];
                StallTimeouts::from_intervals(
                    &intervals.chunk_intervals,
                    &intervals.token_intervals,
                )
            }
            Err(_) => StallTimeouts::default(),
        }
    }

    /// Records intervals that a request measured at an endpoint.
    pub(crate) fn record_intervals(
        &self,
        endpoint: &EndpointName,
        chunk_intervals_us: &[u64],
        token_intervals_us: &[u64],
    ) {
        let mut endpoint_intervals = lock(&self.endpoint_intervals);
        if endpoint_intervals.len() >= ENDPOINTS_MAX {
            endpoint_intervals.clear();
        }
        let position = match endpoint_intervals
            .binary_search_by(|intervals| intervals.endpoint.cmp(endpoint))
        {
            Ok(position) => position,
            Err(position) => {
                let intervals = EndpointIntervals {
                    chunk_intervals: IntervalHistogram::default(),
                    endpoint: endpoint.clone(),
                    token_intervals: IntervalHistogram::default(),
                };
                endpoint_intervals.insert(position, intervals);
                position
            }
        };
        let intervals = &mut endpoint_intervals[position];
        for &interval_us in chunk_intervals_us {
            intervals.chunk_intervals.record(interval_us);
        }
        for &interval_us in token_intervals_us {
            intervals.token_intervals.record(interval_us);
        }
    }

    pub(crate) fn running_requests(&self) -> watch::Receiver<usize> {
        self.running_requests.subscribe()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
