use crate::answer::hash_bytes;
use crate::experiment::capacity::Capacity;
use crate::experiment::draw::{Draw, micros, whole};
use crate::experiment::load_file::{Customer, Kind, LoadFile, Row};
use crate::experiment::scenario::{Fault, Scenario};

const FLOOD_FACTOR: f64 = 20.0;
const HOURS_PER_DAY: f64 = 24.0;
/// Part of a customer's callers that are in its own region.
const HOME_PART: f64 = 0.7;

/// One request of a caller.
#[derive(Debug, Clone)]
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) customer: usize,
    pub(crate) kind: usize,
    pub(crate) length_tokens: u32,
    pub(crate) prefix_hashes: Vec<u64>,
    pub(crate) prompt_tokens: u32,
    pub(crate) region: usize,
    pub(crate) urgent: bool,
}

/// What a request asks for, before its time is known.
#[derive(Debug)]
pub(crate) struct Shape {
    pub(crate) length_tokens: u32,
    pub(crate) own_tokens: u32,
    pub(crate) template: u64,
}

impl Shape {
    pub(crate) fn draw(draw: &mut Draw, customer: &Customer, kind: &Kind) -> Self {
        let scale = if kind.service {
            1.0
        } else {
            customer.length_scale
        };
        Self {
            length_tokens: whole(draw.from(&kind.length) * scale, 1, kind.max_tokens),
            own_tokens: whole(draw.from(&kind.prompt), 1, 8192),
            template: draw.below(kind.templates),
        }
    }
}

/// All requests of a run, in order of time.
pub(crate) fn generate(load: &LoadFile, scenario: &Scenario) -> Vec<Arrival> {
    let capacity = Capacity::of(load);
    let mut arrivals = Vec::new();
    for (position, customer) in load.customers.iter().enumerate() {
        let bursts = Bursts::draw(load, scenario.seed, position);
        for row in &customer.rows {
            let service = load.kinds[row.kind].service;
            let requests_per_s = if service {
                1.0
            } else {
                capacity.requests_per_s
            };
            let rate = row.rate * requests_per_s * scenario.load_factor;
            let source = Source {
                bursts: &bursts,
                load,
                position,
                rate,
                row,
                scenario,
            };
            source.append(&mut arrivals);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

struct Bursts {
    normal: f64,
    phases_s: Vec<(f64, f64)>,
}

impl Bursts {
    fn draw(load: &LoadFile, seed: u64, customer: usize) -> Self {
        let burst = &load.burst;
        let mut draw = Draw::new(seed, 0x1000 + customer as u64);
        let mut phases_s = Vec::new();
        let mut at_s = draw.exponential(burst.gap_s);
        while micros(at_s) < load.duration_us() {
            let end_s = at_s + draw.exponential(burst.length_s);
            phases_s.push((at_s, end_s));
            at_s = end_s + draw.exponential(burst.gap_s);
        }
        let part = burst.length_s / (burst.length_s + burst.gap_s);
        Self {
            normal: 1.0 / (1.0 + part * (burst.factor - 1.0)),
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
            self.normal * factor
        } else {
            self.normal
        }
    }
}

struct Source<'a> {
    bursts: &'a Bursts,
    load: &'a LoadFile,
    position: usize,
    rate: f64,
    row: &'a Row,
    scenario: &'a Scenario,
}

impl Source<'_> {
    fn append(&self, arrivals: &mut Vec<Arrival>) {
        let purpose = 0x2000 + (self.position * self.load.kinds.len() + self.row.kind) as u64;
        let mut times = Draw::new(self.scenario.seed, purpose);
        let mut shapes = Draw::new(self.scenario.seed, purpose << 32);
        let kind = &self.load.kinds[self.row.kind];
        let floods = self.floods();
        let flood = if floods { FLOOD_FACTOR } else { 1.0 };
        let most = self.rate * (1.0 + kind.day_amplitude) * self.load.burst.factor.max(1.0) * flood;
        let mut at_s = times.exponential(1.0 / most);
        while micros(at_s) < self.load.duration_us() {
            if times.unit() * most < self.rate_at(at_s, kind, floods) {
                arrivals.push(self.arrival(micros(at_s), kind, &mut shapes));
            }
            at_s += times.exponential(1.0 / most);
        }
    }

    fn arrival(&self, at_us: u64, kind: &Kind, draw: &mut Draw) -> Arrival {
        let customer = &self.load.customers[self.position];
        let shape = Shape::draw(draw, customer, kind);
        let home = draw.unit() < HOME_PART;
        let elsewhere = usize::try_from(draw.below(self.load.regions.len() as u64)).unwrap_or(0);
        let block_tokens = self.load.engine.block_tokens;
        let prompt_tokens = kind.template_tokens + shape.own_tokens;
        let template =
            [self.position as u64, self.row.kind as u64, shape.template].map(u64::to_le_bytes);
        let unique = draw.below(u64::MAX);
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
            customer: self.position,
            kind: self.row.kind,
            length_tokens: shape.length_tokens,
            prefix_hashes: (0..prompt_tokens / block_tokens).map(hash).collect(),
            prompt_tokens,
            region: if home { customer.region } else { elsewhere },
            urgent: draw.unit() < kind.urgent_part,
        }
    }

    fn floods(&self) -> bool {
        self.scenario.fault == Fault::Flood && self.position == self.load.flood_customer
    }

    fn rate_at(&self, at_s: f64, kind: &Kind, floods: bool) -> f64 {
        let duration_s = f64::from(self.load.duration_s);
        let shifted = self.scenario.fault == Fault::Shift && at_s * 2.0 > duration_s;
        let shift = if shifted { 1.0 / HOURS_PER_DAY } else { 0.0 };
        let phase = at_s / self.load.day_s + shift - kind.day_peak;
        let day = 1.0 + kind.day_amplitude * (std::f64::consts::TAU * phase).cos();
        let middle = at_s * 4.0 > duration_s && at_s * 4.0 < duration_s * 3.0;
        let flood = if floods && middle { FLOOD_FACTOR } else { 1.0 };
        self.rate * day * flood * self.bursts.factor(at_s, self.load.burst.factor)
    }
}
