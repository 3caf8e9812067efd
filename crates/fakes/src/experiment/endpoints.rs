use dispatch::{CustomerIndex, EndpointProfile, KindIndex, ModelIndex, RegionIndex, RowLimits};

use crate::engine::{EngineModel, EngineSettings};
use crate::experiment::load_file::LoadFile;

/// Time of one step of a service; calls last whole steps.
pub(crate) const SERVICE_STEP_MS: u32 = 5;

pub(crate) const ENGINE_MODEL: ModelIndex = ModelIndex(0);
pub(crate) const SERVICE_MODEL: ModelIndex = ModelIndex(1);

/// One endpoint of the simulation. A service is an engine model whose steps have a fixed time.
#[derive(Debug)]
pub(crate) struct SimulatedEndpoint {
    pub(crate) engine: EngineModel,
    pub(crate) is_service: bool,
    pub(crate) is_up: bool,
    pub(crate) profile: EndpointProfile,
    pub(crate) region: usize,
    /// End of the current step, as scheduled in the event queue.
    pub(crate) step_end_us: Option<u64>,
}

/// Builds the endpoints: first the engines, then the services, each by region.
pub(crate) fn build(load: &LoadFile) -> Vec<SimulatedEndpoint> {
    let service = EngineSettings {
        base_step_us: f64::from(SERVICE_STEP_MS) * 1000.0,
        prefill_token_us: 0.0,
        resident_token_us: 0.0,
        sequence_us: 0.0,
        sequences_max: load.service_calls_max,
        ..EngineSettings::default()
    };
    let mut endpoints = Vec::new();
    for (region, settings) in load.regions.iter().enumerate() {
        endpoints
            .extend((0..settings.engines).map(|_| build_endpoint(&load.engine, region, false)));
    }
    for (region, settings) in load.regions.iter().enumerate() {
        endpoints.extend((0..settings.services).map(|_| build_endpoint(&service, region, true)));
    }
    endpoints
}

/// Limits of each row of the load file's table.
pub(crate) fn limits(load: &LoadFile) -> Vec<RowLimits> {
    let mut limits = Vec::new();
    for (index, customer) in load.customers.iter().enumerate() {
        limits.extend(customer.rows.iter().map(|row| RowLimits {
            customer: CustomerIndex(usize_to_u32(index)),
            kind: KindIndex(usize_to_u32(row.kind)),
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

pub(crate) fn usize_to_u32(position: usize) -> u32 {
    u32::try_from(position).expect("indexes of a load file fit a u32")
}

fn build_endpoint(settings: &EngineSettings, region: usize, is_service: bool) -> SimulatedEndpoint {
    let profile = EndpointProfile {
        block_tokens: if is_service { 0 } else { settings.block_tokens },
        memory_tokens: settings.memory_tokens,
        model: if is_service {
            SERVICE_MODEL
        } else {
            ENGINE_MODEL
        },
        region: RegionIndex(usize_to_u32(region)),
        sequences_max: settings.sequences_max,
    };
    SimulatedEndpoint {
        engine: EngineModel::new(settings.clone()),
        is_service,
        is_up: true,
        profile,
        region,
        step_end_us: None,
    }
}
