//! Tests of the engine model without I/O.

use std::collections::BTreeMap;

use fakes::engine::{
    EndReason, EngineEvent, EngineEventKind, EngineModel, EngineSettings, GenerationRequest,
    SequenceState,
};
use names::GenerationId;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CASES: u64 = 150;
const SEED: u64 = 11;
const SIZE: usize = 40;

fn build_request(generation: u128, prompt_tokens: u32, length_tokens: u32) -> GenerationRequest {
    GenerationRequest {
        account: 0,
        generation: GenerationId(generation),
        length_tokens,
        prefix_hashes: Vec::new(),
        priority: 0,
        prompt_tokens,
    }
}

fn small_engine(memory_tokens: u64) -> EngineModel {
    EngineModel::new(EngineSettings {
        memory_tokens,
        ..EngineSettings::default()
    })
}

fn run_until_idle(engine: &mut EngineModel, events: &mut Vec<EngineEvent>) {
    while let Some(at_us) = engine.next_step_end_us() {
        engine.advance(at_us, events);
    }
}

fn token_time_us(events: &[EngineEvent], generation: u128, index: u32) -> u64 {
    let wanted = (GenerationId(generation), EngineEventKind::Token(index));
    let event = events
        .iter()
        .find(|event| (event.generation, event.kind) == wanted);
    event.expect("the token was generated").at_us
}

/// A submitted request, the time since the one before it, and whether a cancel follows it.
#[derive(Debug, Clone)]
struct EngineInput {
    cancel: bool,
    request: GenerationRequest,
    wait_us: u64,
}

impl Arbitrary for EngineInput {
    fn arbitrary(g: &mut Gen) -> Self {
        let template = u64::from(u8::arbitrary(g) % 4);
        let blocks = u64::from(u8::arbitrary(g) % 12);
        let prompt_tokens = u32::try_from(blocks * 16).unwrap() + u32::from(u8::arbitrary(g) % 16);
        let mut request = build_request(0, prompt_tokens + 1, u32::from(u8::arbitrary(g)) + 1);
        request.priority = i32::from(u8::arbitrary(g) % 3);
        request.prefix_hashes = (0..blocks).map(|block| template * 100 + block).collect();
        let wait_us = u64::from(u16::arbitrary(g)) * 8;
        Self {
            cancel: u8::arbitrary(g) % 8 == 0,
            request,
            wait_us,
        }
    }
}

/// Whether each generation emits tokens 0, 1, 2, … and ends once, with all tokens unless cancelled.
fn events_are_complete(lengths: &BTreeMap<GenerationId, u32>, events: &[EngineEvent]) -> bool {
    let mut tokens: BTreeMap<GenerationId, u32> = BTreeMap::new();
    let mut end_reasons: BTreeMap<GenerationId, EndReason> = BTreeMap::new();
    for event in events {
        let count = tokens.entry(event.generation).or_default();
        match event.kind {
            EngineEventKind::Ended(end) => {
                if end_reasons.insert(event.generation, end).is_some() {
                    return false;
                }
            }
            EngineEventKind::State(_) => {}
            EngineEventKind::Token(index) => {
                if index != *count || end_reasons.contains_key(&event.generation) {
                    return false;
                }
                *count += 1;
            }
        }
    }
    let is_complete = |id, length| end_reasons[id] == EndReason::Cancelled || tokens[id] == length;
    lengths.iter().all(|(id, length)| is_complete(id, *length))
}

fn generations_end_once_and_memory_stays_within_capacity(inputs: Vec<EngineInput>) -> bool {
    const MEMORY_TOKENS: u64 = 1024;
    let mut engine = small_engine(MEMORY_TOKENS);
    let mut events = Vec::new();
    let mut lengths = BTreeMap::new();
    let mut now_us = 0;
    for (position, mut input) in inputs.into_iter().enumerate() {
        now_us += input.wait_us;
        engine.advance(now_us, &mut events);
        input.request.generation = GenerationId(position as u128);
        lengths.insert(input.request.generation, input.request.length_tokens);
        engine
            .submit(now_us, input.request, &mut events)
            .expect("fits");
        if input.cancel {
            engine.cancel(now_us, GenerationId(position as u128 / 2), &mut events);
        }
        if engine.load(now_us).memory_used_tokens > MEMORY_TOKENS {
            return false;
        }
    }
    while let Some(at_us) = engine.next_step_end_us() {
        engine.advance(at_us, &mut events);
        if engine.load(at_us).memory_used_tokens > MEMORY_TOKENS {
            return false;
        }
    }
    engine.load(now_us).memory_used_tokens == 0 && events_are_complete(&lengths, &events)
}

#[test]
fn each_generation_ends_once_and_memory_stays_within_capacity() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(
            generations_end_once_and_memory_stays_within_capacity as fn(Vec<EngineInput>) -> bool,
        );
}

#[test]
fn a_full_kv_cache_preempts_the_lowest_priority() {
    let mut engine = small_engine(1600);
    let mut events = Vec::new();
    for generation in 0..3 {
        let mut request = build_request(generation, 400, 300);
        request.priority = i32::from(generation != 1);
        engine.submit(0, request, &mut events).expect("fits");
    }
    run_until_idle(&mut engine, &mut events);
    let preempted = EngineEventKind::State(SequenceState::Preempted);
    let preempted = events.iter().filter(|event| event.kind == preempted);
    let preempted: Vec<u128> = preempted.map(|event| event.generation.0).collect();
    assert!(!preempted.is_empty() && preempted.iter().all(|generation| *generation == 1));
    assert_eq!(engine.load(0).preemptions, preempted.len() as u64);
}

#[test]
fn a_generation_that_fills_the_kv_cache_alone_ends_with_length() {
    let mut engine = small_engine(800);
    let mut events = Vec::new();
    engine
        .submit(0, build_request(1, 400, 10_000), &mut events)
        .expect("fits");
    run_until_idle(&mut engine, &mut events);
    assert_eq!(
        events.last().map(|o| o.kind),
        Some(EngineEventKind::Ended(EndReason::Length))
    );
}

#[test]
fn a_prompt_larger_than_the_kv_cache_is_rejected() {
    let mut events = Vec::new();
    assert!(
        small_engine(800)
            .submit(0, build_request(1, 800, 1), &mut events)
            .is_err()
    );
    assert!(events.is_empty());
}

#[test]
fn a_cached_prefix_shortens_the_time_to_first_token() {
    let mut engine = small_engine(16_384);
    let mut events = Vec::new();
    let mut request = build_request(1, 4096, 1);
    request.prefix_hashes = (0..255).collect();
    engine
        .submit(0, request.clone(), &mut events)
        .expect("fits");
    run_until_idle(&mut engine, &mut events);
    let first_us = token_time_us(&events, 1, 0);
    assert_eq!(engine.take_cache_update().added.len(), 255);
    request.generation = GenerationId(2);
    engine.submit(first_us, request, &mut events).expect("fits");
    run_until_idle(&mut engine, &mut events);
    assert!((token_time_us(&events, 2, 0) - first_us) * 4 < first_us);
    assert!(engine.take_cache_update().added.is_empty());
}

#[test]
fn fifty_concurrent_sequences_take_20_to_34_ms_per_token() {
    let mut engine = EngineModel::new(EngineSettings::default());
    let mut events = Vec::new();
    for generation in 0..50 {
        engine
            .submit(0, build_request(generation, 1024, 600), &mut events)
            .expect("fits");
    }
    run_until_idle(&mut engine, &mut events);
    let hundred_tokens_us = token_time_us(&events, 0, 400) - token_time_us(&events, 0, 300);
    assert!((20_000..34_000).contains(&(hundred_tokens_us / 100)));
}

#[test]
fn a_waiting_request_with_greater_priority_is_admitted_first() {
    let settings = EngineSettings {
        sequences_max: 1,
        ..EngineSettings::default()
    };
    let mut engine = EngineModel::new(settings);
    let mut events = Vec::new();
    for (generation, priority) in [(0, 0), (1, 0), (2, 5)] {
        let mut request = build_request(generation, 100, 10);
        request.priority = priority;
        engine.submit(0, request, &mut events).expect("fits");
    }
    run_until_idle(&mut engine, &mut events);
    assert!(token_time_us(&events, 0, 0) < token_time_us(&events, 2, 0));
    assert!(token_time_us(&events, 2, 0) < token_time_us(&events, 1, 0));
}
