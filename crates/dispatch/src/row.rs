use crate::lengths::LengthStats;
use crate::number::{difference, real, whole};
use crate::token_bucket::TokenBucket;
use crate::{CustomerIndex, KindIndex, RowLimits};

/// Smallest weight that counts.
const WEIGHT_MIN: f64 = 1e-3;

/// Engine time that urgent requests may take ahead of the rest of their row.
const URGENT_CREDIT_US_MAX: i64 = 10_000_000;

/// One row of the table and what it uses.
#[derive(Debug)]
pub(crate) struct Row {
    pub(crate) bucket: Option<TokenBucket>,
    pub(crate) customer: CustomerIndex,
    pub(crate) kind: KindIndex,
    pub(crate) lengths: LengthStats,
    /// None for a row that only an earlier owner's permit names.
    pub(crate) limits: Option<Box<RowLimits>>,
    pub(crate) queued: u32,
    pub(crate) running: u32,
    urgent_credit_us: i64,
    /// Engine time used since the row was made, as charged.
    pub(crate) used_us: u64,
    /// Part of `used_us` that other shards have been told of.
    pub(crate) told_us: u64,
}

impl Row {
    pub(crate) fn new(customer: CustomerIndex, kind: KindIndex) -> Self {
        Self {
            bucket: None,
            customer,
            kind,
            lengths: LengthStats::default(),
            limits: None,
            queued: 0,
            running: 0,
            told_us: 0,
            urgent_credit_us: 0,
            used_us: 0,
        }
    }

    /// Puts new limits in force.
    pub(crate) fn set_limits(&mut self, now_us: u64, limits: &RowLimits) {
        self.limits = Some(Box::new(limits.clone()));
        match (limits.tokens_per_second_max, &mut self.bucket) {
            (None, bucket) => *bucket = None,
            (Some(rate), Some(bucket)) => bucket.set_rate(now_us, rate),
            (Some(rate), bucket) => *bucket = Some(TokenBucket::new(now_us, rate)),
        }
    }

    pub(crate) fn priority(&self) -> i32 {
        self.limits.as_ref().map_or(0, |limits| limits.priority)
    }

    pub(crate) fn weight(&self) -> f64 {
        let weight = self.limits.as_ref().map_or(1.0, |limits| limits.weight);
        weight.max(WEIGHT_MIN)
    }

    /// Engine time as it counts against the row's share.
    pub(crate) fn weighted_us(&self, engine_us: u64) -> u64 {
        whole(real(engine_us) / self.weight())
    }

    /// Whether an urgent request goes before the others of its row.
    pub(crate) fn urgent_first(&self) -> bool {
        self.urgent_credit_us >= 0
    }

    /// Counts engine time that a request of the row is granted.
    pub(crate) fn charge(&mut self, engine_us: u64, urgent: bool) {
        self.used_us += engine_us;
        let share = self
            .limits
            .as_ref()
            .map_or(0.0, |limits| limits.urgent_share);
        let earned = difference(whole(real(engine_us) * share.clamp(0.0, 1.0)), 0);
        let spent = if urgent { difference(engine_us, 0) } else { 0 };
        let credit_us = self.urgent_credit_us + earned - spent;
        self.urgent_credit_us = credit_us.min(URGENT_CREDIT_US_MAX);
    }

    /// Corrects what was charged.
    pub(crate) fn correct(&mut self, by_us: i64) {
        self.used_us = self.used_us.saturating_add_signed(by_us);
    }

    /// When the row's limits allow another request, as far as time decides it.
    pub(crate) fn open_us(&self, now_us: u64) -> Option<u64> {
        let limits = self.limits.as_ref()?;
        if self.running >= limits.running_max {
            return None;
        }
        let ready_us = self.bucket.as_ref().map(|bucket| bucket.ready_us(now_us));
        Some(ready_us.unwrap_or(now_us))
    }
}
