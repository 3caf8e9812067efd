use crate::length_estimator::LengthStats;
use crate::number::{signed_difference, to_f64, to_u64};
use crate::token_bucket::TokenBucket;
use crate::{CustomerIndex, KindIndex, RowLimits};

/// Smaller weights count as this one.
const WEIGHT_MIN: f64 = 1e-3;

/// Limit on the engine time that urgent requests may use before the other requests of their row.
const URGENT_CREDIT_US_MAX: i64 = 10_000_000;

/// Limits and usage of a row of the table; each row is for one customer's kind of work.
#[derive(Debug)]
pub(crate) struct Row {
    pub(crate) customer: CustomerIndex,
    pub(crate) kind: KindIndex,
    pub(crate) lengths: LengthStats,
    /// `None` if the row is known only from a permit of an earlier owner.
    pub(crate) limits: Option<Box<RowLimits>>,
    pub(crate) queued: u32,
    /// Part of `used_us` that was reported to other shards.
    pub(crate) reported_us: u64,
    pub(crate) running: u32,
    pub(crate) token_bucket: Option<TokenBucket>,
    /// Engine time that urgent requests may use first; negative if they used more.
    urgent_credit_us: i64,
    /// Engine time charged since the row was created.
    pub(crate) used_us: u64,
}

impl Row {
    pub(crate) fn new(customer: CustomerIndex, kind: KindIndex) -> Self {
        Self {
            customer,
            kind,
            lengths: LengthStats::default(),
            limits: None,
            queued: 0,
            reported_us: 0,
            running: 0,
            token_bucket: None,
            urgent_credit_us: 0,
            used_us: 0,
        }
    }

    /// Applies new limits.
    pub(crate) fn set_limits(&mut self, now_us: u64, limits: &RowLimits) {
        self.limits = Some(Box::new(limits.clone()));
        match (limits.tokens_per_second_max, &mut self.token_bucket) {
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

    /// Engine time divided by the row's weight.
    pub(crate) fn weighted_us(&self, engine_us: u64) -> u64 {
        to_u64(to_f64(engine_us) / self.weight())
    }

    /// Whether urgent requests are served before the others of the row.
    pub(crate) fn is_urgent_first(&self) -> bool {
        self.urgent_credit_us >= 0
    }

    /// Charges engine time to the row when a request is granted.
    pub(crate) fn charge(&mut self, engine_us: u64, urgent: bool) {
        self.used_us += engine_us;
        let share = self
            .limits
            .as_ref()
            .map_or(0.0, |limits| limits.urgent_share);
        let earned_us = signed_difference(to_u64(to_f64(engine_us) * share.clamp(0.0, 1.0)), 0);
        let spent_us = if urgent {
            signed_difference(engine_us, 0)
        } else {
            0
        };
        let credit_us = self.urgent_credit_us + earned_us - spent_us;
        self.urgent_credit_us = credit_us.min(URGENT_CREDIT_US_MAX);
    }

    /// Adds the difference between used and charged engine time.
    pub(crate) fn adjust_usage(&mut self, by_us: i64) {
        self.used_us = self.used_us.saturating_add_signed(by_us);
    }

    /// Time at which the limits allow another request; `None` if time does not decide it.
    pub(crate) fn next_grant_us(&self, now_us: u64) -> Option<u64> {
        let limits = self.limits.as_ref()?;
        if self.running >= limits.running_max {
            return None;
        }
        let ready_us = self
            .token_bucket
            .as_ref()
            .map(|bucket| bucket.ready_us(now_us));
        Some(ready_us.unwrap_or(now_us))
    }
}
