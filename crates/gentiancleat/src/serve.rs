use std::sync::Arc;
use std::{panic, process};

use node::Node;
use slog::{info, warn};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::Error;
use crate::options::ServeOptions;
use crate::serve_settings::settings;
use crate::source::ProcessEnvironment;

/// Runs an instance until it has been drained.
pub(crate) fn run(options: &ServeOptions) -> Result<(), Error> {
    let settings = settings(options, &ProcessEnvironment)?;
    stop_on_broken_invariants();
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

/// Ends the process when any of its tasks panics.
///
/// A task that has panicked would leave an instance that looks alive and does only a part of its
/// work, such as one that serves callers and no longer votes.
pub(crate) fn stop_on_broken_invariants() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        print(panic);
        process::abort();
    }));
}

/// Begins to drain at the first signal; later ones only show what still runs.
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
