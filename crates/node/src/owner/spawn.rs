//! Starts an owner with its timer and its notifications of the published state.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use slog::Logger;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use xtra::{Address, Mailbox, WeakAddress};

use super::actor::{Ownership, ShardOwner};
use super::messages::{StateChanged, Wake};
use crate::clock::Clock;
use crate::published_state::PublishedState;

/// Starts the owner of a shard.
pub(crate) fn spawn_owner(
    ownership: Ownership,
    published: &Arc<PublishedState>,
    draining: &Arc<AtomicBool>,
    clock: Clock,
    log: &Logger,
) -> Address<ShardOwner> {
    let (address, mailbox) = Mailbox::unbounded();
    let (wake_time, wake_times) = watch::channel(0);
    let owner = ShardOwner::new(ownership, published, draining, clock, log, wake_time);
    tokio::spawn(xtra::run(mailbox, owner));
    tokio::spawn(run_timer(address.downgrade(), clock, wake_times));
    tokio::spawn(forward_changes(address.downgrade(), Arc::clone(published)));
    address
}

/// Notifies the owner of every change of the published state.
async fn forward_changes(owner: WeakAddress<ShardOwner>, published: Arc<PublishedState>) {
    let mut changes = published.changes();
    while changes.changed().await.is_ok() {
        if owner.send(StateChanged).await.is_err() {
            return;
        }
    }
}

/// Wakes the owner at the times that it schedules, `WAKE_INTERVAL_MS_MAX` apart at most.
async fn run_timer(
    owner: WeakAddress<ShardOwner>,
    clock: Clock,
    mut wake_times: watch::Receiver<u64>,
) {
    loop {
        let wake_us = *wake_times.borrow_and_update();
        let remaining_us = wake_us.saturating_sub(clock.now_us());
        let changed = timeout(Duration::from_micros(remaining_us), wake_times.changed()).await;
        match changed {
            Ok(Ok(())) => continue,
            Ok(Err(_)) => return,
            Err(_) => {}
        }
        if owner.send(Wake).await.is_err() {
            return;
        }
        // Limits the rate of wake-ups if the owner schedules a time in the past.
        sleep(Duration::from_millis(1)).await;
    }
}
