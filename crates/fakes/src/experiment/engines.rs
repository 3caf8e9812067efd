use dispatch::{ModelIndex, Profile, RegionIndex, Report};

use crate::engine::{EngineModel, EngineSettings};
use crate::experiment::load_file::LoadFile;

/// Time of one step of a plain service; calls last whole steps.
pub(crate) const SERVICE_STEP_MS: u32 = 5;

pub(crate) const ENGINE_MODEL: ModelIndex = ModelIndex(0);
pub(crate) const SERVICE_MODEL: ModelIndex = ModelIndex(1);

/// One endpoint of the run.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) engine: EngineModel,
    pub(crate) profile: Profile,
    pub(crate) region: usize,
    /// When the queue will wake the engine.
    pub(crate) step_us: Option<u64>,
    pub(crate) up: bool,
}

/// Engines first, then services, region by region.
pub(crate) fn build(load: &LoadFile) -> Vec<Site> {
    let regions = || load.regions.iter().enumerate();
    let engines = regions().flat_map(|(region, of)| (0..of.engines).map(move |_| region));
    let services = regions().flat_map(|(region, of)| (0..of.services).map(move |_| region));
    let service = EngineSettings {
        base_step_us: f64::from(SERVICE_STEP_MS) * 1000.0,
        prefill_token_us: 0.0,
        resident_token_us: 0.0,
        sequence_us: 0.0,
        sequences_max: load.service_calls_max,
        ..EngineSettings::default()
    };
    let engines = engines.map(|region| site(load.engine.clone(), region, ENGINE_MODEL));
    let services = services.map(|region| site(service.clone(), region, SERVICE_MODEL));
    engines.chain(services).collect()
}

impl Site {
    pub(crate) fn is_service(&self) -> bool {
        self.profile.model == SERVICE_MODEL
    }

    pub(crate) fn report(&self, now_us: u64) -> Report {
        let load = self.engine.load(now_us);
        Report {
            memory_used_tokens: load.memory_used_tokens,
            preemptions: load.preemptions,
            running: load.running,
            token_interval_us: load.token_interval_us,
            waiting: load.waiting,
        }
    }
}

fn site(settings: EngineSettings, region: usize, model: ModelIndex) -> Site {
    let block_tokens = if model == SERVICE_MODEL {
        0
    } else {
        settings.block_tokens
    };
    let profile = Profile {
        block_tokens,
        memory_tokens: settings.memory_tokens,
        model,
        region: RegionIndex(u32::try_from(region).expect("few regions")),
        sequences_max: settings.sequences_max,
    };
    Site {
        engine: EngineModel::new(settings),
        profile,
        region,
        step_us: None,
        up: true,
    }
}
