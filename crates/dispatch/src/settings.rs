/// Tuning of a `Dispatcher`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Flows after the first whose request may be granted while the first does not fit.
    pub backfill_flows: usize,
    /// How long a request that does not fit may be passed over by others.
    pub bypass_us_max: u64,
    /// Standard deviations of future memory use that are kept free.
    pub confidence_deviations: f64,
    /// Most engine time, for a weight of one, by which a flow may lag behind the others.
    pub debt_us_max: u64,
    /// Generations after which an observed length counts 1/e.
    pub length_memory_generations: f64,
    /// Time after which an observed length counts half.
    pub length_memory_half_life_us: u64,
    /// Observations that the wider estimate counts for where a row or kind has few of its own.
    pub length_prior_observations: f64,
    /// Median output length before anything is observed.
    pub length_prior_tokens: f64,
    /// Placement cost of a full endpoint against an empty one.
    pub occupancy_us: u64,
    /// How long an endpoint that refused a request receives no other.
    pub pause_after_refusal_us: u64,
    /// Most prompt tokens granted to an endpoint and not yet answered by a first token.
    pub prefill_tokens_max: u64,
    /// Engine time to read one prompt token.
    pub prefill_us_per_token: f64,
    /// Placement cost of an endpoint in another region.
    pub region_us: u64,
    /// Part of an endpoint's memory that forecasts may fill.
    pub memory_fraction_max: f64,
    /// Sequences that an endpoint decodes at once before its pace is measured.
    pub sequences_start: u32,
    /// Goal for the time between tokens.
    pub token_interval_goal_us: u64,
    /// Engine time of one generated token before it is measured.
    pub token_us: f64,
    /// Placement cost of each sequence that an endpoint holds back.
    pub waiting_us: u64,
    /// Part of the longest wait that a row allows beyond which a predicted wait is refused.
    pub wait_part_max: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            backfill_flows: 4,
            bypass_us_max: 3_000_000,
            confidence_deviations: 0.8,
            debt_us_max: 60_000_000,
            length_memory_generations: 400.0,
            length_memory_half_life_us: 6 * 3_600_000_000,
            length_prior_observations: 6.0,
            length_prior_tokens: 256.0,
            memory_fraction_max: 0.97,
            occupancy_us: 400_000,
            pause_after_refusal_us: 250_000,
            prefill_tokens_max: 16_384,
            prefill_us_per_token: 20.0,
            region_us: 25_000,
            sequences_start: 48,
            token_interval_goal_us: 34_000,
            token_us: 1_000.0,
            wait_part_max: 0.6,
            waiting_us: 200_000,
        }
    }
}
