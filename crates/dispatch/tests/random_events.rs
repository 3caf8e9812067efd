//! Invariants under random sequences of events. The host in `support` checks each action.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

mod support;

use dispatch::{Action, EndpointLoad, PermitEnd, RegionIndex};
use names::PermitId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use support::{Host, RequestState, demand, limits, profile};

/// A random event, applied to the host.
#[derive(Debug, Clone)]
enum Step {
    AdvanceTime {
        by_us: u64,
    },
    AnnounceEndpoint {
        endpoint: u64,
        memory_tokens: u64,
    },
    EndPermit {
        end: u8,
        position: usize,
    },
    GenerateTokens {
        by_tokens: u32,
        position: usize,
    },
    LapseEndpoint {
        endpoint: u64,
    },
    LeaveEndpoint {
        endpoint: u64,
    },
    ReportLoad {
        endpoint: u64,
        waiting: u32,
        interval_us: u64,
    },
    SendRequest {
        customer: u32,
        prompt_tokens: u32,
        urgent: bool,
    },
    SetRunningMax {
        customer: u32,
        running_max: u32,
    },
    WithdrawRequest {
        position: usize,
    },
}

fn below(generator: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(generator) % bound
}

fn below_u32(generator: &mut Gen, bound: u32) -> u32 {
    u32::arbitrary(generator) % bound
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let position = usize::arbitrary(generator) % 64;
        match below(generator, 24) {
            0 => Self::AnnounceEndpoint {
                endpoint: below(generator, 4),
                memory_tokens: 2_000 + below(generator, 8_000),
            },
            1 => Self::LapseEndpoint {
                endpoint: below(generator, 12),
            },
            2 => Self::LeaveEndpoint {
                endpoint: below(generator, 12),
            },
            3 => Self::SetRunningMax {
                customer: below_u32(generator, 3),
                running_max: below_u32(generator, 6),
            },
            4 | 5 => Self::AdvanceTime {
                by_us: below(generator, 3_000_000),
            },
            6 => Self::WithdrawRequest { position },
            7 | 8 => Self::ReportLoad {
                endpoint: below(generator, 4),
                waiting: below_u32(generator, 2),
                interval_us: below(generator, 60_000),
            },
            9..=12 => Self::EndPermit {
                position,
                end: u8::arbitrary(generator) % 4,
            },
            13..=17 => Self::GenerateTokens {
                position,
                by_tokens: below_u32(generator, 300),
            },
            _ => Self::SendRequest {
                customer: below_u32(generator, 4),
                prompt_tokens: below_u32(generator, 2_500),
                urgent: bool::arbitrary(generator),
            },
        }
    }
}

fn apply(host: &mut Host, step: &Step) {
    match *step {
        Step::AnnounceEndpoint {
            endpoint,
            memory_tokens,
        } if !host.profiles.contains_key(&names::EndpointId(endpoint)) => {
            host.announce(endpoint, &profile(memory_tokens, 8));
        }
        Step::AnnounceEndpoint { .. } => {}
        Step::EndPermit { position, end } => {
            let ends = [
                PermitEnd::Cancelled,
                PermitEnd::Completed,
                PermitEnd::Failed,
                PermitEnd::Refused,
            ];
            if let Some(permit) = nth_permit(host, position) {
                host.end_permit(permit, ends[end as usize]);
            }
        }
        Step::LapseEndpoint { endpoint } => host.lapse(endpoint),
        Step::LeaveEndpoint { endpoint } => host.leave(endpoint),
        Step::SetRunningMax {
            customer,
            running_max,
        } => {
            let mut changed = limits(customer, 0);
            changed.running_max = running_max;
            host.set_limits(changed);
        }
        Step::AdvanceTime { by_us } => host.advance_us(by_us),
        Step::GenerateTokens {
            position,
            by_tokens,
        } => {
            if let Some(permit) = nth_permit(host, position) {
                host.progress(permit, by_tokens);
            }
        }
        Step::ReportLoad {
            endpoint,
            waiting,
            interval_us,
        } => host.report_load(
            endpoint,
            &EndpointLoad {
                running: 4,
                token_interval_us: interval_us,
                waiting,
                ..EndpointLoad::default()
            },
        ),
        Step::SendRequest {
            customer,
            prompt_tokens,
            urgent,
        } => {
            let mut request_demand = demand(customer, prompt_tokens, 1_000);
            request_demand.urgent = urgent;
            if prompt_tokens % 16 == 0 {
                request_demand.deadline_us = host.now_us;
            }
            request_demand.region = RegionIndex(customer % 2);
            let template = u64::from(customer % 3) << 32;
            request_demand.prefix_hashes = (template..).take(prompt_tokens as usize / 16).collect();
            host.request(&request_demand);
        }
        Step::WithdrawRequest { position } => {
            let waiting = host
                .request_states
                .iter()
                .filter(|(_, state)| **state == RequestState::Waiting);
            let request = waiting.map(|(&request, _)| request).nth(position);
            if let Some(request) = request {
                host.withdraw(request);
            }
        }
    }
}

fn nth_permit(host: &Host, position: usize) -> Option<PermitId> {
    host.running
        .keys()
        .nth(position % host.running.len().max(1))
        .copied()
}

fn apply_all(steps: &[Step]) -> Host {
    let mut host = Host::new(7);
    for customer in 0..3 {
        host.set_limits(limits(customer, 0));
    }
    host.announce(0, &profile(6_000, 8));
    host.announce(1, &profile(6_000, 8));
    for step in steps {
        apply(&mut host, step);
        assert_eq!(host.dispatcher.queued_requests(), host.waiting());
        let listed = host.dispatcher.permits().map(|permit| permit.permit);
        assert!(listed.eq(host.running.keys().copied()));
        assert!(
            !host.has_idle_endpoint(),
            "an endpoint is idle while requests wait"
        );
    }
    host
}

fn check(property: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 11))
        .tests(60)
        .quickcheck(property);
}

#[test]
fn every_action_keeps_the_invariants() {
    fn property(steps: Vec<Step>) -> bool {
        apply_all(&steps);
        true
    }
    check(property);
}

#[test]
fn the_same_events_give_the_same_actions() {
    fn property(steps: Vec<Step>) -> bool {
        apply_all(&steps).actions == apply_all(&steps).actions
    }
    check(property);
}

#[test]
fn no_request_waits_forever() {
    fn property(steps: Vec<Step>) -> bool {
        let mut host = apply_all(&steps);
        for _ in 0..3 {
            while let Some(permit) = nth_permit(&host, 0) {
                host.end_permit(permit, PermitEnd::Completed);
            }
            host.advance_us(61_000_000);
        }
        host.waiting() == 0
    }
    check(property);
}

#[test]
fn a_request_is_refused_at_most_once_and_never_after_it_ran() {
    fn property(steps: Vec<Step>) -> bool {
        let host = apply_all(&steps);
        let mut refused: Vec<_> = host
            .actions
            .iter()
            .filter_map(|action| match action {
                Action::Refuse { request, .. } => Some(*request),
                _ => None,
            })
            .collect();
        let all = refused.len();
        refused.sort_unstable();
        refused.dedup();
        all == refused.len()
    }
    check(property);
}
