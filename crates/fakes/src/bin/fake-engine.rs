//! Runs a fake engine as a process.

use std::error::Error;
use std::net::SocketAddr;

use fakes::engine::EngineSettings;
use fakes::http::{AnnouncementSettings, EngineServer, EngineServerSettings, GenerationLength};
use gumdrop::Options;

/// Command-line flags.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(
        no_short,
        help = "instance to announce to; may be repeated",
        meta = "ADDRESS"
    )]
    instance: Vec<SocketAddr>,
    #[options(no_short, help = "name of the endpoint", default = "engine")]
    name: String,
    #[options(no_short, help = "region", default = "local")]
    region: String,
    #[options(no_short, help = "data centre", default = "local")]
    data_centre: String,
    #[options(no_short, help = "number that grows with each start", default = "1")]
    incarnation: u64,
    #[options(no_short, help = "name of the model", default = "fake")]
    model: String,
    #[options(no_short, help = "version of the model", default = "1")]
    version: String,
    #[options(
        no_short,
        help = "median length of generations, in tokens",
        default = "64"
    )]
    median_tokens: u32,
    #[options(no_short, help = "length of all generations, in tokens")]
    fixed_tokens: Option<u32>,
    #[options(no_short, help = "size of the KV cache, in tokens", default = "131072")]
    memory_tokens: u64,
    #[options(no_short, help = "maximum of concurrent sequences", default = "128")]
    sequences_max: u32,
    #[options(no_short, help = "divides all times of the engine", default = "1")]
    speed: f64,
    #[options(no_short, help = "age of load reports when announced", default = "0")]
    report_lag_ms: u64,
    #[options(no_short, help = "accept orders with an old fencing number")]
    ignore_fencing: bool,
}

impl Flags {
    fn settings(self) -> Result<EngineServerSettings, Box<dyn Error>> {
        let defaults = EngineSettings::default();
        let engine = EngineSettings {
            base_step_us: defaults.base_step_us / self.speed,
            memory_tokens: self.memory_tokens,
            prefill_token_us: defaults.prefill_token_us / self.speed,
            resident_token_us: defaults.resident_token_us / self.speed,
            sequence_us: defaults.sequence_us / self.speed,
            sequences_max: self.sequences_max,
            ..defaults
        };
        let heavy_tailed = GenerationLength::HeavyTailed {
            median_tokens: self.median_tokens,
        };
        Ok(EngineServerSettings {
            address: self.listen.parse()?,
            announcement: AnnouncementSettings {
                data_centre: self.data_centre,
                incarnation: self.incarnation,
                instances: self.instance,
                name: self.name,
                region: self.region,
            },
            checks_fencing: !self.ignore_fencing,
            engine,
            length: self
                .fixed_tokens
                .map_or(heavy_tailed, GenerationLength::Fixed),
            model: self.model,
            report_lag_ms: self.report_lag_ms,
            version: self.version,
        })
    }
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let settings = Flags::parse_args_default_or_exit().settings()?;
    let engine = EngineServer::spawn(settings).await?;
    println!("listening on {}", engine.address());
    engine.stopped().await;
    Ok(())
}
