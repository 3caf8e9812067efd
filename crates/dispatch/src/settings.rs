/// Tuning parameters of a `Dispatcher`.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Number of later flows that are tried while the first flow's request does not fit.
    pub backfill_flows: usize,
    /// Longest time in which later requests may be granted before a request that does not fit.
    pub bypass_us_max: u64,
    /// Safety margin for memory, in standard deviations of the forecast use.
    pub confidence_deviations: f64,
    /// Limit on a flow's debt: engine time, for a weight of 1, that it used beyond its share.
    pub debt_us_max: u64,
    /// Placement cost of a full endpoint; less in proportion to its load.
    pub full_endpoint_penalty_us: u64,
    /// Limit on an endpoint's sequences until it has reported load.
    pub initial_sequences_max: u32,
    /// Engine time of one generated token until load was reported.
    pub initial_token_us: f64,
    /// Number of later generations after which an observed length has a weight of 1/e.
    pub length_memory_generations: f64,
    /// Time after which an observed length has half its weight.
    pub length_memory_half_life_us: u64,
    /// Weight of the kind's or prior's estimate against a row's or kind's own, in observations.
    pub length_prior_observations: f64,
    /// Median of the prior distribution of output lengths.
    pub length_prior_tokens: f64,
    /// Fraction of an endpoint's memory that forecasts may fill.
    pub memory_fraction_max: f64,
    /// Placement cost of an endpoint in another region.
    pub other_region_penalty_us: u64,
    /// Pause of grants to an endpoint after a refusal or a first failure.
    pub pause_after_refusal_us: u64,
    /// Limit on prompt tokens of an endpoint's permits without a first token.
    pub prefill_tokens_max: u64,
    /// Engine time to prefill one prompt token.
    pub prefill_us_per_token: f64,
    /// Goal for the time between tokens.
    pub token_interval_goal_us: u64,
    /// Fraction of the row's longest wait; a request with a longer predicted wait is refused.
    pub wait_fraction_max: f64,
    /// Placement cost of each sequence in the endpoint's queue.
    pub waiting_sequence_penalty_us: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            backfill_flows: 4,
            bypass_us_max: 3_000_000,
            confidence_deviations: 0.8,
            debt_us_max: 60_000_000,
            full_endpoint_penalty_us: 400_000,
            initial_sequences_max: 48,
            initial_token_us: 1_000.0,
            length_memory_generations: 400.0,
            length_memory_half_life_us: 6 * 3_600_000_000,
            length_prior_observations: 6.0,
            length_prior_tokens: 256.0,
            memory_fraction_max: 0.97,
            other_region_penalty_us: 25_000,
            pause_after_refusal_us: 250_000,
            prefill_tokens_max: 16_384,
            prefill_us_per_token: 20.0,
            token_interval_goal_us: 34_000,
            wait_fraction_max: 0.6,
            waiting_sequence_penalty_us: 200_000,
        }
    }
}
