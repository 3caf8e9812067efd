//! Invariants over random sequences of events; the host in `support` checks each action.

#![expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands values over"
)]

mod support;

use dispatch::{Action, EndpointLoad, PermitEnd, RegionIndex};
use names::PermitId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

use support::{Fate, Host, demand, limits, profile};

#[derive(Debug, Clone)]
enum Step {
    Announce {
        endpoint: u64,
        memory_tokens: u64,
    },
    Finish {
        at: usize,
        end: u8,
    },
    Lapse {
        endpoint: u64,
    },
    Leave {
        endpoint: u64,
    },
    Limit {
        customer: u32,
        running_max: u32,
    },
    Pass {
        by_us: u64,
    },
    Progress {
        at: usize,
        by_tokens: u32,
    },
    EndpointLoad {
        endpoint: u64,
        waiting: u32,
        interval_us: u64,
    },
    Request {
        customer: u32,
        prompt_tokens: u32,
        urgent: bool,
    },
    Withdraw {
        at: usize,
    },
}

fn below(g: &mut Gen, bound: u64) -> u64 {
    u64::arbitrary(g) % bound
}

fn below_u32(g: &mut Gen, bound: u32) -> u32 {
    u32::arbitrary(g) % bound
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let at = usize::arbitrary(g) % 64;
        match below(g, 24) {
            0 => Self::Announce {
                endpoint: below(g, 4),
                memory_tokens: 2_000 + below(g, 8_000),
            },
            1 => Self::Lapse {
                endpoint: below(g, 12),
            },
            2 => Self::Leave {
                endpoint: below(g, 12),
            },
            3 => Self::Limit {
                customer: below_u32(g, 3),
                running_max: below_u32(g, 6),
            },
            4 | 5 => Self::Pass {
                by_us: below(g, 3_000_000),
            },
            6 => Self::Withdraw { at },
            7 | 8 => Self::EndpointLoad {
                endpoint: below(g, 4),
                waiting: below_u32(g, 2),
                interval_us: below(g, 60_000),
            },
            9..=12 => Self::Finish {
                at,
                end: u8::arbitrary(g) % 4,
            },
            13..=17 => Self::Progress {
                at,
                by_tokens: below_u32(g, 300),
            },
            _ => Self::Request {
                customer: below_u32(g, 4),
                prompt_tokens: below_u32(g, 2_500),
                urgent: bool::arbitrary(g),
            },
        }
    }
}

fn apply(host: &mut Host, step: &Step) {
    match *step {
        Step::Announce {
            endpoint,
            memory_tokens,
        } if !host.profiles.contains_key(&names::EndpointId(endpoint)) => {
            host.announce(endpoint, &profile(memory_tokens, 8));
        }
        Step::Announce { .. } => {}
        Step::Finish { at, end } => {
            let ends = [
                PermitEnd::Cancelled,
                PermitEnd::Completed,
                PermitEnd::Failed,
                PermitEnd::Refused,
            ];
            if let Some(permit) = nth_permit(host, at) {
                host.finish(permit, ends[end as usize]);
            }
        }
        Step::Lapse { endpoint } => host.lapse(endpoint),
        Step::Leave { endpoint } => host.leave(endpoint),
        Step::Limit {
            customer,
            running_max,
        } => {
            let mut changed = limits(customer, 0);
            changed.running_max = running_max;
            host.set_limits(changed);
        }
        Step::Pass { by_us } => host.pass_us(by_us),
        Step::Progress { at, by_tokens } => {
            if let Some(permit) = nth_permit(host, at) {
                host.progress(permit, by_tokens);
            }
        }
        Step::EndpointLoad {
            endpoint,
            waiting,
            interval_us,
        } => host.report(
            endpoint,
            &EndpointLoad {
                running: 4,
                token_interval_us: interval_us,
                waiting,
                ..EndpointLoad::default()
            },
        ),
        Step::Request {
            customer,
            prompt_tokens,
            urgent,
        } => {
            let mut asked = demand(customer, prompt_tokens, 1_000);
            asked.urgent = urgent;
            if prompt_tokens % 16 == 0 {
                asked.deadline_us = host.now_us;
            }
            asked.region = RegionIndex(customer % 2);
            let template = u64::from(customer % 3) << 32;
            asked.prefix_hashes = (template..).take(prompt_tokens as usize / 16).collect();
            host.request(&asked);
        }
        Step::Withdraw { at } => {
            let waiting = host.fates.iter().filter(|(_, f)| **f == Fate::Waiting);
            let request = waiting.map(|(&request, _)| request).nth(at);
            if let Some(request) = request {
                host.withdraw(request);
            }
        }
    }
}

fn nth_permit(host: &Host, at: usize) -> Option<PermitId> {
    host.running
        .keys()
        .nth(at % host.running.len().max(1))
        .copied()
}

fn run(steps: &[Step]) -> Host {
    let mut host = Host::new(7);
    for customer in 0..3 {
        host.set_limits(limits(customer, 0));
    }
    host.announce(0, &profile(6_000, 8));
    host.announce(1, &profile(6_000, 8));
    for step in steps {
        apply(&mut host, step);
        assert_eq!(host.dispatcher.queued_requests(), host.waiting());
        let listed = host.dispatcher.permits().map(|view| view.permit);
        assert!(listed.eq(host.running.keys().copied()));
        assert!(!host.idles(), "an endpoint idles while requests wait");
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
        run(&steps);
        true
    }
    check(property);
}

#[test]
fn the_same_events_give_the_same_actions() {
    fn property(steps: Vec<Step>) -> bool {
        run(&steps).actions == run(&steps).actions
    }
    check(property);
}

#[test]
fn every_request_is_granted_refused_or_withdrawn_in_the_end() {
    fn property(steps: Vec<Step>) -> bool {
        let mut host = run(&steps);
        for _ in 0..3 {
            while let Some(permit) = nth_permit(&host, 0) {
                host.finish(permit, PermitEnd::Completed);
            }
            host.pass_us(61_000_000);
        }
        host.waiting() == 0
    }
    check(property);
}

#[test]
fn a_request_is_refused_at_most_once_and_never_after_it_ran() {
    fn property(steps: Vec<Step>) -> bool {
        let host = run(&steps);
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
