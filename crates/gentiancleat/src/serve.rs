use std::sync::Arc;
use std::{panic, process};

use node::Node;
use slog::{info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::environment::ProcessEnvironment;
use crate::error::Error;
use crate::options::ServeOptions;
use crate::serve_settings::read_serve_settings;

/// Runs `serve`: serves until SIGTERM or SIGINT, then drains.
pub(crate) fn run(options: &ServeOptions) -> Result<(), Error> {
    let settings = read_serve_settings(options, &ProcessEnvironment)?;
    abort_on_panic();
    let runtime = Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(Error::failed)?;
    runtime.block_on(async {
        let log = settings.log.clone();
        let node = Arc::new(Node::open(settings).await.map_err(Error::failed)?);
        let terminate = signal(SignalKind::terminate()).map_err(Error::failed)?;
        let interrupt = signal(SignalKind::interrupt()).map_err(Error::failed)?;
        tokio::spawn(drain_on_signals(Arc::clone(&node), terminate, interrupt));
        node.wait_until_drained().await;
        info!(log, "stopped"; "instance" => %node.name());
        Ok(())
    })
}

/// Aborts the process when any of its tasks panics.
///
/// Without its panicked task, an instance would still look alive but do only part of its work, such
/// as serve clients and no longer vote.
pub(crate) fn abort_on_panic() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        default_hook(panic);
        process::abort();
    }));
}

/// Starts to drain at the first signal; later signals only log how many requests still run.
async fn drain_on_signals(node: Arc<Node>, mut terminate: Signal, mut interrupt: Signal) {
    loop {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        if node.begin_drain() {
            continue;
        }
        warn!(node.log(), "still draining"; "running_requests" => node.running_requests());
    }
}
