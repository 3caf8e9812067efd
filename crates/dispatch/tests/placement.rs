//! Which endpoint a request runs on.

mod support;

use dispatch::{RegionIndex, ReportedPermit};
use names::{EndpointId, PermitId, RequestId};
use support::{Fate, Host, demand, limits, profile};

fn host(endpoints: u64) -> Host {
    let mut host = Host::new(9);
    host.set_limits(limits(0, 0));
    for endpoint in 0..endpoints {
        host.announce(endpoint, &profile(100_000, 64));
    }
    host
}

fn place(host: &mut Host, demand: &dispatch::Demand) -> EndpointId {
    let request = host.request(demand);
    let Fate::Granted(permit) = host.fates[&request] else {
        panic!("no room");
    };
    host.running[&permit].endpoint
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached() {
    let mut host = host(4);
    let mut asked = demand(0, 2_000, 100);
    asked.prefix_hashes = (0..125).collect();
    let first = place(&mut host, &asked);
    asked.prefix_hashes.truncate(100);
    asked.prefix_hashes.extend(1_000..1_025);
    assert_eq!(place(&mut host, &asked), first);
}

#[test]
fn plain_services_are_balanced_by_running_calls() {
    let mut host = host(0);
    for endpoint in 0..3 {
        let mut service = profile(u64::MAX, 8);
        service.block_tokens = 0;
        host.announce(endpoint, &service);
    }
    for _ in 0..24 {
        place(&mut host, &demand(0, 0, 0));
    }
    for endpoint in 0..3 {
        let here = host.running.values().filter(|r| r.endpoint.0 == endpoint);
        assert_eq!(here.count(), 8);
    }
}

#[test]
fn extreme_sizes_and_waits_are_taken() {
    let mut host = host(0);
    let mut row = limits(0, 0);
    row.queueing_ms_max = u64::MAX;
    host.set_limits(row);
    let mut service = profile(u64::MAX, 64);
    service.block_tokens = 0;
    host.announce(0, &service);
    for _ in 0..64 {
        place(&mut host, &demand(0, u32::MAX, u32::MAX));
    }
}

#[test]
fn the_callers_region_is_preferred() {
    let mut host = host(1);
    let mut far = profile(100_000, 64);
    far.region = RegionIndex(1);
    host.announce(1, &far);
    let mut asked = demand(0, 100, 100);
    asked.region = RegionIndex(1);
    assert_eq!(place(&mut host, &asked), EndpointId(1));
    asked.region = RegionIndex(0);
    assert_eq!(place(&mut host, &asked), EndpointId(0));
}

#[test]
fn a_leaving_endpoint_receives_nothing_new() {
    let mut host = host(2);
    host.leave(1);
    for _ in 0..10 {
        assert_eq!(place(&mut host, &demand(0, 100, 100)), EndpointId(0));
    }
}

#[test]
fn a_request_reported_late_by_its_entry_runs_once() {
    let mut host = host(0);
    host.announce(0, &profile(2_100, 8));
    host.dispatcher.delay_grants_until(3_000_000);
    let waiting = host.request(&demand(0, 300, 100));
    let held = |number, request| ReportedPermit {
        demand: demand(0, 300, 100),
        endpoint: EndpointId(0),
        generated_tokens: 0,
        permit: PermitId(number),
        request,
    };
    let first = held(7, waiting);
    let again = held(8, waiting);
    host.dispatcher.adopt_permits(0, &[first, again]);
    assert_eq!(host.dispatcher.queued_requests(), 0);
    let permits = host.dispatcher.permits().map(|view| view.permit);
    assert!(permits.eq([PermitId(7)]));
}

#[test]
fn a_new_owner_counts_what_the_old_one_granted() {
    let mut host = host(0);
    let held: Vec<ReportedPermit> = (0..4)
        .map(|number| ReportedPermit {
            demand: demand(0, 400, 1_000),
            endpoint: EndpointId(0),
            generated_tokens: 50,
            permit: PermitId(number),
            request: RequestId(100 + number),
        })
        .collect();
    host.dispatcher.adopt_permits(0, &held);
    host.dispatcher.adopt_permits(0, &held[..2]);
    host.dispatcher.delay_grants_until(3_000_000);
    host.announce(0, &profile(2_100, 8));
    assert_eq!(host.dispatcher.permits().count(), 4);
    let request = host.request(&demand(0, 300, 100));
    host.pass_us(2_000_000);
    assert_eq!(host.fates[&request], Fate::Waiting);
    host.pass_us(2_000_000);
    assert_eq!(host.fates[&request], Fate::Waiting, "the memory is taken");
    for (number, held) in (0..).map(PermitId).zip(held) {
        host.adopted(number, held.demand);
        host.finish(number, dispatch::PermitEnd::Completed);
    }
    assert_eq!(host.fates[&request], Fate::Granted(PermitId(4)));
}

#[test]
fn a_dead_endpoint_receives_few_requests_until_its_lease_lapses() {
    const LEASE_US: u64 = 3_000_000;
    const LOOK_US: u64 = 10_000;
    let mut host = host(2);
    let mut failed = 0;
    for _ in 0..LEASE_US / LOOK_US {
        host.pass_us(LOOK_US);
        host.request(&demand(0, 100, 100));
        let permits: Vec<PermitId> = host.running.keys().copied().collect();
        for permit in permits {
            match host.running[&permit].endpoint {
                EndpointId(1) => {
                    host.finish(permit, dispatch::PermitEnd::Failed);
                    failed += 1;
                }
                _ => host.finish(permit, dispatch::PermitEnd::Completed),
            }
        }
    }
    assert!((1..=6).contains(&failed), "{failed} requests failed");
}

#[test]
fn an_endpoint_whose_permits_all_fail_at_once_is_paused_briefly() {
    let mut host = host(1);
    for _ in 0..10 {
        host.request(&demand(0, 100, 100));
    }
    let permits: Vec<PermitId> = host.running.keys().copied().collect();
    assert_eq!(permits.len(), 10);
    for permit in permits {
        host.finish(permit, dispatch::PermitEnd::Failed);
    }
    let request = host.request(&demand(0, 100, 100));
    assert_eq!(host.fates[&request], Fate::Waiting);
    host.pass_us(300_000);
    assert!(matches!(host.fates[&request], Fate::Granted(_)));
}
