use crate::answer::hash_bytes;
use crate::experiment::capacity::Capacity;
use crate::experiment::load_file::{Customer, Kind, LoadFile, Row};
use crate::experiment::random::{RandomSource, round_clamped, seconds_to_us};
use crate::experiment::scenario::{Scenario, ScenarioFault};

const FLOOD_FACTOR: f64 = 20.0;
const HOURS_PER_DAY: f64 = 24.0;
/// Fraction of requests that come from the customer's own region; the rest is spread over all.
const HOME_REGION_FRACTION: f64 = 0.7;

/// One request of a client.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    /// Time at which the client sends the request.
    pub(crate) at_us: u64,
    pub(crate) customer: usize,
    pub(crate) kind: usize,
    /// Tokens to generate; for a service call, its duration in milliseconds.
    pub(crate) length_tokens: u32,
    pub(crate) prefix_hashes: Vec<u64>,
    pub(crate) prompt_tokens: u32,
    pub(crate) region: usize,
    pub(crate) urgent: bool,
}

/// Size of a request, independent of its time of arrival.
#[derive(Debug)]
pub(crate) struct RequestShape {
    pub(crate) length_tokens: u32,
    /// Tokens of the prompt after the template.
    pub(crate) own_tokens: u32,
    pub(crate) template: u64,
}

impl RequestShape {
    pub(crate) fn sample(random: &mut RandomSource, customer: &Customer, kind: &Kind) -> Self {
        let scale = if kind.service {
            1.0
        } else {
            customer.length_scale
        };
        Self {
            length_tokens: round_clamped(random.sample(&kind.length) * scale, 1, kind.max_tokens),
            own_tokens: round_clamped(random.sample(&kind.prompt), 1, 8192),
            template: random.uniform_below(kind.templates),
        }
    }
}

/// Generates all requests of a run, in order of time.
pub(crate) fn generate(load: &LoadFile, scenario: &Scenario) -> Vec<Arrival> {
    let capacity = Capacity::from_load(load);
    let mut arrivals = Vec::new();
    for (customer_index, customer) in load.customers.iter().enumerate() {
        let bursts = Bursts::generate(load, scenario.seed, customer_index);
        for row in &customer.rows {
            let service = load.kinds[row.kind].service;
            let requests_per_s = if service {
                1.0
            } else {
                capacity.requests_per_s
            };
            let rate_per_s = row.rate * requests_per_s * scenario.load_factor;
            let process = ArrivalProcess {
                bursts: &bursts,
                customer: customer_index,
                load,
                rate_per_s,
                row,
                scenario,
            };
            process.append_arrivals(&mut arrivals);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

/// Burst phases of one customer's load.
struct Bursts {
    /// Load factor outside bursts, so that the mean over all phases is 1.
    base_factor: f64,
    phases_s: Vec<(f64, f64)>,
}

impl Bursts {
    fn generate(load: &LoadFile, seed: u64, customer: usize) -> Self {
        let burst = &load.burst;
        let mut random = RandomSource::new(seed, 0x1000 + customer as u64);
        let mut phases_s = Vec::new();
        let mut at_s = random.exponential(burst.gap_s);
        while seconds_to_us(at_s) < load.duration_us() {
            let end_s = at_s + random.exponential(burst.length_s);
            phases_s.push((at_s, end_s));
            at_s = end_s + random.exponential(burst.gap_s);
        }
        let burst_fraction = burst.length_s / (burst.length_s + burst.gap_s);
        Self {
            base_factor: 1.0 / (1.0 + burst_fraction * (burst.factor - 1.0)),
            phases_s,
        }
    }

    fn factor(&self, at_s: f64, factor: f64) -> f64 {
        let next = self.phases_s.partition_point(|(_, end_s)| *end_s <= at_s);
        let inside = self
            .phases_s
            .get(next)
            .is_some_and(|(start_s, _)| *start_s <= at_s);
        if inside {
            self.base_factor * factor
        } else {
            self.base_factor
        }
    }
}

/// Arrivals of one row's requests: a Poisson process with a rate that varies in time.
struct ArrivalProcess<'a> {
    bursts: &'a Bursts,
    customer: usize,
    load: &'a LoadFile,
    rate_per_s: f64,
    row: &'a Row,
    scenario: &'a Scenario,
}

impl ArrivalProcess<'_> {
    /// Generates the arrivals by thinning a Poisson process of the maximum rate.
    fn append_arrivals(&self, arrivals: &mut Vec<Arrival>) {
        let purpose = 0x2000 + (self.customer * self.load.kinds.len() + self.row.kind) as u64;
        let mut times = RandomSource::new(self.scenario.seed, purpose);
        let mut shapes = RandomSource::new(self.scenario.seed, purpose << 32);
        let kind = &self.load.kinds[self.row.kind];
        let is_flooding = self.is_flooding();
        let flood = if is_flooding { FLOOD_FACTOR } else { 1.0 };
        let rate_max_per_s =
            self.rate_per_s * (1.0 + kind.day_amplitude) * self.load.burst.factor.max(1.0) * flood;
        let mut at_s = times.exponential(1.0 / rate_max_per_s);
        while seconds_to_us(at_s) < self.load.duration_us() {
            if times.uniform_unit() * rate_max_per_s < self.rate_at(at_s, kind, is_flooding) {
                arrivals.push(self.arrival(seconds_to_us(at_s), kind, &mut shapes));
            }
            at_s += times.exponential(1.0 / rate_max_per_s);
        }
    }

    fn arrival(&self, at_us: u64, kind: &Kind, random: &mut RandomSource) -> Arrival {
        let customer = &self.load.customers[self.customer];
        let shape = RequestShape::sample(random, customer, kind);
        let in_home_region = random.uniform_unit() < HOME_REGION_FRACTION;
        let any_region =
            usize::try_from(random.uniform_below(self.load.regions.len() as u64)).unwrap_or(0);
        let block_tokens = self.load.engine.block_tokens;
        let prompt_tokens = kind.template_tokens + shape.own_tokens;
        let template =
            [self.customer as u64, self.row.kind as u64, shape.template].map(u64::to_le_bytes);
        let unique = random.uniform_below(u64::MAX);
        let hash = |block: u32| {
            let shared = (block + 1) * block_tokens <= kind.template_tokens;
            let own = if shared { 0 } else { unique };
            let parts = [
                template.concat(),
                own.to_le_bytes().to_vec(),
                block.to_le_bytes().into(),
            ];
            hash_bytes(&parts.concat())
        };
        Arrival {
            at_us,
            customer: self.customer,
            kind: self.row.kind,
            length_tokens: shape.length_tokens,
            prefix_hashes: (0..prompt_tokens / block_tokens).map(hash).collect(),
            prompt_tokens,
            region: if in_home_region {
                customer.region
            } else {
                any_region
            },
            urgent: random.uniform_unit() < kind.urgent_part,
        }
    }

    fn is_flooding(&self) -> bool {
        self.scenario.fault == ScenarioFault::Flood && self.customer == self.load.flood_customer
    }

    fn rate_at(&self, at_s: f64, kind: &Kind, is_flooding: bool) -> f64 {
        let duration_s = f64::from(self.load.duration_s);
        let shifted = self.scenario.fault == ScenarioFault::Shift && at_s * 2.0 > duration_s;
        let shift = if shifted { 1.0 / HOURS_PER_DAY } else { 0.0 };
        let phase = at_s / self.load.day_s + shift - kind.day_peak;
        let day = 1.0 + kind.day_amplitude * (std::f64::consts::TAU * phase).cos();
        let middle = at_s * 4.0 > duration_s && at_s * 4.0 < duration_s * 3.0;
        let flood = if is_flooding && middle {
            FLOOD_FACTOR
        } else {
            1.0
        };
        self.rate_per_s * day * flood * self.bursts.factor(at_s, self.load.burst.factor)
    }
}
