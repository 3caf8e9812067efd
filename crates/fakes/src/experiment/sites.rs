use dispatch::{CustomerIndex, EndpointProfile, KindIndex, ModelIndex, RegionIndex, RowLimits};

use crate::engine::{EngineModel, EngineSettings};
use crate::experiment::load_file::LoadFile;

/// Time of one step of a plain service; calls last whole steps.
pub(crate) const SERVICE_STEP_MS: u32 = 5;

pub(crate) const ENGINE_MODEL: ModelIndex = ModelIndex(0);
pub(crate) const SERVICE_MODEL: ModelIndex = ModelIndex(1);

/// One endpoint of the run. A plain service is an engine that only counts calls.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) engine: EngineModel,
    pub(crate) is_service: bool,
    pub(crate) profile: EndpointProfile,
    pub(crate) region: usize,
    /// When the queue will wake the engine.
    pub(crate) step_us: Option<u64>,
    pub(crate) up: bool,
}

/// Engines first, then services, region by region.
pub(crate) fn build(load: &LoadFile) -> Vec<Site> {
    let service = EngineSettings {
        base_step_us: f64::from(SERVICE_STEP_MS) * 1000.0,
        prefill_token_us: 0.0,
        resident_token_us: 0.0,
        sequence_us: 0.0,
        sequences_max: load.service_calls_max,
        ..EngineSettings::default()
    };
    let mut sites = Vec::new();
    for (region, of) in load.regions.iter().enumerate() {
        sites.extend((0..of.engines).map(|_| site(&load.engine, region, false)));
    }
    for (region, of) in load.regions.iter().enumerate() {
        sites.extend((0..of.services).map(|_| site(&service, region, true)));
    }
    sites
}

/// The rows of the table.
pub(crate) fn limits(load: &LoadFile) -> Vec<RowLimits> {
    let mut limits = Vec::new();
    for (customer, of) in load.customers.iter().enumerate() {
        limits.extend(of.rows.iter().map(|row| RowLimits {
            customer: CustomerIndex(narrow(customer)),
            kind: KindIndex(narrow(row.kind)),
            priority: row.priority,
            queued_max: row.queued_max,
            queueing_ms_max: load.kinds[row.kind].wait_ms_max,
            running_max: row.running_max,
            tokens_per_second_max: None,
            urgent_share: 0.5,
            weight: row.weight,
        }));
    }
    limits
}

pub(crate) fn narrow(position: usize) -> u32 {
    u32::try_from(position).expect("few positions")
}

fn site(settings: &EngineSettings, region: usize, is_service: bool) -> Site {
    let profile = EndpointProfile {
        block_tokens: if is_service { 0 } else { settings.block_tokens },
        memory_tokens: settings.memory_tokens,
        model: if is_service {
            SERVICE_MODEL
        } else {
            ENGINE_MODEL
        },
        region: RegionIndex(narrow(region)),
        sequences_max: settings.sequences_max,
    };
    Site {
        engine: EngineModel::new(settings.clone()),
        is_service,
        profile,
        region,
        step_us: None,
        up: true,
    }
}
