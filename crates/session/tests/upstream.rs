//! Selection of the publisher to subscribe to.

mod support;

use names::InstanceName;
use session::{
    CONFIGURATION_LEASE_MS, Roster, UPSTREAM_TIMEOUT_MS, UpstreamSelector, rendezvous_order,
};
use support::{instance, member};

const INSTANCES: usize = 15;

fn roster() -> Roster {
    let mut roster = Roster::new(1);
    (0..INSTANCES).for_each(|number| roster.insert(&member(number)));
    roster
}

fn ranked_names(roster: &Roster) -> Vec<InstanceName> {
    let order = rendezvous_order("sofia", roster.members());
    order.into_iter().cloned().collect()
}

#[test]
fn two_members_of_a_data_centre_never_subscribe_to_each_other() {
    let roster = roster();
    let order = ranked_names(&roster);
    let voters = [instance(900)];
    for (rank, own) in order.iter().enumerate() {
        let mut upstream = UpstreamSelector::new(own);
        for _ in 0..INSTANCES {
            let chosen = upstream
                .choose(0, &roster, &voters, None)
                .expect("the voter is left");
            let above = order.iter().position(|name| *name == chosen);
            assert!(above.is_none_or(|above| above < rank));
            if above.is_none() {
                break;
            }
            upstream.record_failure(0, &chosen);
        }
    }
}

#[test]
fn unreachable_relays_in_the_roster_cause_no_lapsed_lease() {
    let roster = roster();
    let order = ranked_names(&roster);
    let voters = [instance(900)];
    let mut upstream = UpstreamSelector::new(&order[4]);
    let (mut now_ms, mut renewed_ms) = (0, 0);
    // The first attempts are made before the first lease.
    while now_ms < 120_000 {
        let chosen = upstream
            .choose(now_ms, &roster, &voters, None)
            .expect("the voter is left");
        if chosen == voters[0] {
            let gap_ms = now_ms - renewed_ms;
            assert!(
                renewed_ms == 0 || gap_ms < CONFIGURATION_LEASE_MS,
                "no lease at {now_ms} ms"
            );
            renewed_ms = now_ms;
            upstream.record_answer(&chosen);
            now_ms += 500;
        } else {
            now_ms += UPSTREAM_TIMEOUT_MS;
            upstream.record_failure(now_ms, &chosen);
        }
    }
    assert!(renewed_ms > 0);
}
