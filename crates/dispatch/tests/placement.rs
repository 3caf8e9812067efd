//! Choice of the endpoint for a request.

mod support;

use dispatch::{RegionIndex, ReportedPermit};
use names::{EndpointId, PermitId, RequestId};
use support::{Host, RequestState, demand, limits, profile};

fn host(endpoints: u64) -> Host {
    let mut host = Host::new(9);
    host.set_limits(limits(0, 0));
    for endpoint in 0..endpoints {
        host.announce(endpoint, &profile(100_000, 64));
    }
    host
}

fn granted_endpoint(host: &mut Host, demand: &dispatch::Demand) -> EndpointId {
    let request = host.request(demand);
    let RequestState::Granted(permit) = host.request_states[&request] else {
        panic!("the request is not granted");
    };
    host.running[&permit].endpoint
}

#[test]
fn a_prompt_goes_to_the_endpoint_with_its_prefix_cached() {
    let mut host = host(4);
    let mut request_demand = demand(0, 2_000, 100);
    request_demand.prefix_hashes = (0..125).collect();
    let first = granted_endpoint(&mut host, &request_demand);
    request_demand.prefix_hashes.truncate(100);
    request_demand.prefix_hashes.extend(1_000..1_025);
    assert_eq!(granted_endpoint(&mut host, &request_demand), first);
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
        granted_endpoint(&mut host, &demand(0, 0, 0));
    }
    for endpoint in 0..3 {
        let on_endpoint = host
            .running
            .values()
            .filter(|running| running.endpoint.0 == endpoint);
        assert_eq!(on_endpoint.count(), 8);
    }
}

#[test]
fn requests_of_the_largest_sizes_and_longest_waits_are_granted() {
    let mut host = host(0);
    let mut row = limits(0, 0);
    row.queueing_ms_max = u64::MAX;
    host.set_limits(row);
    let mut service = profile(u64::MAX, 64);
    service.block_tokens = 0;
    host.announce(0, &service);
    for _ in 0..64 {
        granted_endpoint(&mut host, &demand(0, u32::MAX, u32::MAX));
    }
}

#[test]
fn the_clients_region_is_preferred() {
    let mut host = host(1);
    let mut far = profile(100_000, 64);
    far.region = RegionIndex(1);
    host.announce(1, &far);
    let mut request_demand = demand(0, 100, 100);
    request_demand.region = RegionIndex(1);
    assert_eq!(granted_endpoint(&mut host, &request_demand), EndpointId(1));
    request_demand.region = RegionIndex(0);
    assert_eq!(granted_endpoint(&mut host, &request_demand), EndpointId(0));
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let mut host = host(2);
    host.leave(1);
    for _ in 0..10 {
        assert_eq!(
            granted_endpoint(&mut host, &demand(0, 100, 100)),
            EndpointId(0)
        );
    }
}

#[test]
fn a_queued_request_reported_as_running_runs_once() {
    let mut host = host(0);
    host.announce(0, &profile(2_100, 8));
    host.dispatcher.delay_grants_until(3_000_000);
    let waiting = host.request(&demand(0, 300, 100));
    let report = |number, request| ReportedPermit {
        demand: demand(0, 300, 100),
        endpoint: EndpointId(0),
        generated_tokens: 0,
        permit: PermitId(number),
        request,
    };
    let first = report(7, waiting);
    let second = report(8, waiting);
    host.dispatcher.adopt_permits(0, &[first, second]);
    assert_eq!(host.dispatcher.queued_requests(), 0);
    let permits = host.dispatcher.permits().map(|permit| permit.permit);
    assert!(permits.eq([PermitId(7)]));
}

#[test]
fn a_new_owner_counts_permits_of_the_previous_owner() {
    let mut host = host(0);
    let reported: Vec<ReportedPermit> = (0..4)
        .map(|number| ReportedPermit {
            demand: demand(0, 400, 1_000),
            endpoint: EndpointId(0),
            generated_tokens: 50,
            permit: PermitId(number),
            request: RequestId(100 + number),
        })
        .collect();
    host.dispatcher.adopt_permits(0, &reported);
    host.dispatcher.adopt_permits(0, &reported[..2]);
    host.dispatcher.delay_grants_until(3_000_000);
    host.announce(0, &profile(2_100, 8));
    assert_eq!(host.dispatcher.permits().count(), 4);
    let request = host.request(&demand(0, 300, 100));
    host.advance_us(2_000_000);
    assert_eq!(host.request_states[&request], RequestState::Waiting);
    host.advance_us(2_000_000);
    assert_eq!(
        host.request_states[&request],
        RequestState::Waiting,
        "adopted permits occupy the memory"
    );
    for (number, permit) in (0..).map(PermitId).zip(reported) {
        host.add_adopted_permit(number, permit.demand);
        host.end_permit(number, dispatch::PermitEnd::Completed);
    }
    assert_eq!(
        host.request_states[&request],
        RequestState::Granted(PermitId(4))
    );
}

#[test]
fn a_failed_endpoint_gets_few_requests_until_its_lease_lapses() {
    const LEASE_US: u64 = 3_000_000;
    const REQUEST_INTERVAL_US: u64 = 10_000;
    let mut host = host(2);
    let mut failed = 0;
    for _ in 0..LEASE_US / REQUEST_INTERVAL_US {
        host.advance_us(REQUEST_INTERVAL_US);
        host.request(&demand(0, 100, 100));
        let permits: Vec<PermitId> = host.running.keys().copied().collect();
        for permit in permits {
            match host.running[&permit].endpoint {
                EndpointId(1) => {
                    host.end_permit(permit, dispatch::PermitEnd::Failed);
                    failed += 1;
                }
                _ => host.end_permit(permit, dispatch::PermitEnd::Completed),
            }
        }
    }
    assert!((1..=6).contains(&failed), "{failed} requests failed");
}

#[test]
fn many_failures_at_once_pause_an_endpoint_only_once() {
    let mut host = host(1);
    for _ in 0..10 {
        host.request(&demand(0, 100, 100));
    }
    let permits: Vec<PermitId> = host.running.keys().copied().collect();
    assert_eq!(permits.len(), 10);
    for permit in permits {
        host.end_permit(permit, dispatch::PermitEnd::Failed);
    }
    let request = host.request(&demand(0, 100, 100));
    assert_eq!(host.request_states[&request], RequestState::Waiting);
    host.advance_us(300_000);
    assert!(matches!(
        host.request_states[&request],
        RequestState::Granted(_)
    ));
}
