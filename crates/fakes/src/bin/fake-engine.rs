//! A fake engine as a program of its own.

use std::error::Error;
use std::net::SocketAddr;

use fakes::engine::EngineSettings;
use fakes::http::{AnnouncementSettings, EngineServer, EngineServerSettings, GenerationLength};
use gumdrop::Options;

/// Flags of the fake engine.
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
    #[options(no_short, help = "number of this start", default = "1")]
    incarnation: u64,
    #[options(no_short, help = "name of the model", default = "fake")]
    model: String,
    #[options(no_short, help = "version of the model", default = "1")]
    version: String,
    #[options(no_short, help = "median length of generations", default = "64")]
    median_tokens: u32,
    #[options(no_short, help = "length of all generations")]
    fixed_tokens: Option<u32>,
    #[options(no_short, help = "memory for keys and values", default = "131072")]
    memory_tokens: u64,
    #[options(no_short, help = "most sequences at once", default = "128")]
    sequences_max: u32,
    #[options(no_short, help = "divides all times of the engine", default = "1")]
    speed: f64,
    #[options(no_short, help = "age of load reports", default = "0")]
    report_lag_ms: u64,
    #[options(no_short, help = "take orders with an old fencing number")]
    ignore_fencing: bool,
}

impl Flags {
    fn settings(self) -> Result<EngineServerSettings, Box<dyn Error>> {
        let usual = EngineSettings::default();
        let engine = EngineSettings {
            base_step_us: usual.base_step_us / self.speed,
            memory_tokens: self.memory_tokens,
            prefill_token_us: usual.prefill_token_us / self.speed,
            resident_token_us: usual.resident_token_us / self.speed,
            sequence_us: usual.sequence_us / self.speed,
            sequences_max: self.sequences_max,
            ..usual
        };
        let spread = GenerationLength::HeavyTailed {
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
            length: self.fixed_tokens.map_or(spread, GenerationLength::Fixed),
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
