//! Runs an instance on the users' platform, by the platform's settings file.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gateway::Gateway;
use platform::{ControlApi, Settings};
use registry::{Registry, RegistrySettings};
use slog::{Logger, info, warn};
use telemetry::{LOG_LINES_PER_SECOND_DEFAULT, LogLevel, Metrics, logger};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::error::Error;
use crate::metrics_server::MetricsServer;
use crate::options::PlatformOptions;
use crate::serve::abort_on_panic;

/// Log level without the flag.
const LOG_LEVEL_DEFAULT: &str = "info";

/// Time between two reads of the settings file, which may change without a signal.
const SETTINGS_INTERVAL_MS: u64 = 2_000;

/// Runs `platform`: serves the roles in the settings file until SIGTERM, then drains.
pub(crate) fn run(options: &PlatformOptions) -> Result<(), Error> {
    let level = options.log_level.as_deref().unwrap_or(LOG_LEVEL_DEFAULT);
    let level: LogLevel = level
        .parse()
        .map_err(|error| Error::usage(&format!("{error}")))?;
    let settings = Settings::read().map_err(|error| Error::usage(&error.to_string()))?;
    abort_on_panic();
    // The platform's machines have one core, and the process gets only part of it.
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::failed)?;
    let lines_per_second = options.log_lines_per_second;
    let log = logger(
        level,
        lines_per_second.unwrap_or(LOG_LINES_PER_SECOND_DEFAULT),
    );
    runtime.block_on(serve(settings, options, &log))
}

async fn serve(settings: Settings, options: &PlatformOptions, log: &Logger) -> Result<(), Error> {
    let metrics = Arc::new(Metrics::new().map_err(Error::failed)?);
    if let Some(port) = options.metrics_port {
        let address = SocketAddr::new(settings.ip(), port);
        MetricsServer::bind(address, &metrics, log)
            .await
            .map_err(Error::failed)?;
    }
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::failed)?;
    let hangup = signal(SignalKind::hangup()).map_err(Error::failed)?;
    let registry = match settings.registry_settings(log) {
        Some(registry) => {
            let registry = RegistrySettings {
                inner_listen: options.inner_listen,
                ..registry
            };
            let registry = Registry::open(registry).await.map_err(Error::failed)?;
            Some(Arc::new(registry))
        }
        None => None,
    };
    if let (Some(registry), Some(address)) = (&registry, settings.control_address()) {
        ControlApi::bind(address, Arc::clone(registry), log)
            .await
            .map_err(Error::failed)?;
    }
    let gateway_metrics = Arc::new(metrics.gateway_metrics());
    let gateway = match settings.gateway_settings(log, &gateway_metrics) {
        Some(gateway) => Some(Gateway::bind(gateway).await.map_err(Error::failed)?),
        None => None,
    };
    info!(log, "started"; "instance" => settings.instance_name(),
        "version" => env!("CARGO_PKG_VERSION"), "settings" => ?settings);
    tokio::select! {
        _ = terminate.recv() => {}
        () = reload_settings(&settings, gateway.as_ref(), hangup, log) => {}
    }
    info!(log, "stopping"; "instance" => settings.instance_name());
    if let Some(gateway) = gateway {
        gateway.drain().await;
    }
    if let Some(registry) = registry {
        registry.transfer_leadership().await;
    }
    info!(log, "stopped"; "instance" => settings.instance_name());
    Ok(())
}

/// Rereads the settings file at SIGHUP and at intervals, and passes changed seeds to the gateway.
async fn reload_settings(
    initial: &Settings,
    gateway: Option<&Gateway>,
    mut hangup: Signal,
    log: &Logger,
) {
    let mut seeds = initial.registry_seeds();
    loop {
        tokio::select! {
            _ = hangup.recv() => info!(log, "reloading"),
            () = sleep(Duration::from_millis(SETTINGS_INTERVAL_MS)) => {}
        }
        let settings = match Settings::read() {
            Ok(settings) => settings,
            Err(error) => {
                warn!(log, "settings not reloaded"; "error" => %error);
                continue;
            }
        };
        let new_seeds = settings.registry_seeds();
        if new_seeds != seeds {
            info!(log, "seeds changed"; "seeds" => ?new_seeds);
            if let Some(gateway) = gateway {
                gateway.add_registries(&new_seeds);
            }
            seeds = new_seeds;
        }
    }
}
