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

/// Most endpoints whose times are remembered.
const ENDPOINTS_MAX: usize = 4_096;

/// What all requests of one entry share.
pub(crate) struct SharedState {
    /// Calls and cancellations that outlive the connection of their caller.
    pub(crate) background: TaskTracker,
    pub(crate) dependencies: Dependencies,
    pub(crate) clock: Clock,
    pub(crate) settings: Settings,
    budgets: Mutex<RetryBudgets>,
    is_draining: AtomicBool,
    random: Mutex<Xoshiro256PlusPlus>,
    running: watch::Sender<usize>,
    times: Mutex<Vec<EndpointLatencies>>,
}

/// Times measured at one endpoint.
#[derive(Debug)]
struct EndpointLatencies {
    endpoint: EndpointName,
    silences: IntervalHistogram,
    token_gaps: IntervalHistogram,
}

/// Counts a request while it runs.
pub(crate) struct RunningRequest {
    running: watch::Sender<usize>,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.running.send_modify(|count| *count -= 1);
    }
}

impl SharedState {
    pub(crate) fn budgets(&self) -> MutexGuard<'_, RetryBudgets> {
        lock(&self.budgets)
    }

    pub(crate) fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Counts a request in, unless the entry is full.
    pub(crate) fn enter(&self) -> Option<RunningRequest> {
        let requests_max = self.settings.limits.requests_max;
        let entered = self.running.send_if_modified(|count| {
            let has_room = *count < requests_max;
            *count += usize::from(has_room);
            has_room
        });
        entered.then(|| RunningRequest {
            running: self.running.clone(),
        })
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    pub(crate) fn new(settings: Settings, dependencies: Dependencies) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(settings.seed);
        Self {
            background: TaskTracker::new(),
            dependencies,
            budgets: Mutex::default(),
            clock: Clock::start(),
            is_draining: AtomicBool::new(false),
            random: Mutex::new(random),
            running: watch::Sender::new(0),
            settings,
            times: Mutex::default(),
        }
    }

    pub(crate) fn next_generation(&self) -> GenerationId {
        let mut random = lock(&self.random);
        let high = u128::from(random.next_u64());
        GenerationId(high << 64 | u128::from(random.next_u64()))
    }

    pub(crate) fn next_seed(&self) -> u64 {
        lock(&self.random).next_u64()
    }

    /// How long an endpoint may be silent.
    pub(crate) fn stall_timeouts(&self, endpoint: &EndpointName) -> StallTimeouts {
        let times = lock(&self.times);
        match times.binary_search_by(|known| known.endpoint.cmp(endpoint)) {
            Ok(position) => {
                let known = &times[position];
                StallTimeouts::from_intervals(&known.silences, &known.token_gaps)
            }
            Err(_) => StallTimeouts::default(),
        }
    }

    /// Takes times that a request measured at an endpoint.
    pub(crate) fn record_times(
        &self,
        endpoint: &EndpointName,
        silences_us: &[u64],
        token_gaps_us: &[u64],
    ) {
        let mut times = lock(&self.times);
        if times.len() >= ENDPOINTS_MAX {
            times.clear();
        }
        let position = match times.binary_search_by(|known| known.endpoint.cmp(endpoint)) {
            Ok(position) => position,
            Err(position) => {
                let known = EndpointLatencies {
                    endpoint: endpoint.clone(),
                    silences: IntervalHistogram::default(),
                    token_gaps: IntervalHistogram::default(),
                };
                times.insert(position, known);
                position
            }
        };
        let known = &mut times[position];
        for &time_us in silences_us {
            known.silences.record(time_us);
        }
        for &time_us in token_gaps_us {
            known.token_gaps.record(time_us);
        }
    }

    pub(crate) fn running(&self) -> watch::Receiver<usize> {
        self.running.subscribe()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
