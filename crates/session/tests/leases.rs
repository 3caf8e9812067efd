//! Configuration leases, granted directly and through relays.

mod support;

use quickcheck::{Gen, QuickCheck};
use rand::RngExt;
use session::{
    CONFIGURATION_LEASE_MS, ConfigurationLease, HEARTBEAT_INTERVAL_MS, UpstreamSelector,
};
use support::fleet::{Fleet, Layout};
use support::instance;

const INSTANCES: usize = 12;
const RUN_MS: u64 = 600_000;
const STALL_MS: u64 = 500;

fn relayed_lease_ends_no_later(
    renewed_ms: u16,
    travel_ms: u8,
    open_ms: u8,
    sent_ms: u16,
    granted_ms: u16,
) -> bool {
    let mut relay = ConfigurationLease::default();
    relay.renew(u64::from(renewed_ms), u64::from(granted_ms));
    let received_ms = u64::from(sent_ms) + u64::from(travel_ms);
    let now_ms = received_ms + u64::from(open_ms);
    let Some(lease_ms) = relay.relayed_lease_ms(now_ms, received_ms) else {
        return true;
    };
    let mut subscriber = ConfigurationLease::default();
    subscriber.renew(u64::from(sent_ms), lease_ms);
    let end_ms = u64::from(renewed_ms) + u64::from(granted_ms).min(CONFIGURATION_LEASE_MS);
    !subscriber.is_live(end_ms) && !subscriber.is_live(u64::from(sent_ms) + CONFIGURATION_LEASE_MS)
}

#[test]
fn a_relayed_lease_ends_no_later_than_the_lease_of_the_relay() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(4_000, 3))
        .tests(10_000)
        .quickcheck(relayed_lease_ends_no_later as fn(u16, u8, u8, u16, u16) -> bool);
}

#[test]
fn a_relayed_lease_includes_the_time_for_which_the_request_was_open() {
    let mut relay = ConfigurationLease::default();
    relay.renew(0, 2_000);
    assert_eq!(relay.relayed_lease_ms(500, 0), Some(2_000));
    assert_eq!(relay.relayed_lease_ms(900, 0), None);
}

#[test]
fn the_request_after_a_failure_is_answered_immediately() {
    let mut upstream = UpstreamSelector::new(&instance(1));
    upstream.record_answer(&instance(2));
    assert_eq!(upstream.wait_ms(), HEARTBEAT_INTERVAL_MS);
    upstream.record_failure(0, &instance(2));
    assert_eq!(upstream.wait_ms(), 0);
}

#[test]
fn short_stalls_cause_no_lapsed_lease() {
    let mut fleet = Fleet::new(&Layout {
        data_centres: 3,
        instances: INSTANCES,
        loss_percent: 0,
        seed: 4,
        voters: 3,
    });
    fleet.is_measured = true;
    fleet.run_until(10_000);
    while fleet.now_ms < RUN_MS {
        // One instance at a time stalls, every two seconds.
        let node_index = fleet.random.random_range(0..INSTANCES);
        fleet.nodes[node_index].stalled_until_ms = fleet.now_ms + STALL_MS;
        for _ in 0..20 {
            fleet.run_until(fleet.now_ms + 100);
            let lapsed = fleet
                .nodes
                .iter()
                .filter(|node| !node.admits_work(fleet.now_ms));
            assert_eq!(lapsed.count(), 0, "at {} ms", fleet.now_ms);
        }
    }
}
