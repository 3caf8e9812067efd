//! The engine model by itself.

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

fn job(generation: u128, prompt_tokens: u32, length_tokens: u32) -> GenerationRequest {
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

fn run(engine: &mut EngineModel, outputs: &mut Vec<EngineEvent>) {
    while let Some(at_us) = engine.next_step_end_us() {
        engine.advance(at_us, outputs);
    }
}

fn token_time(outputs: &[EngineEvent], generation: u128, index: u32) -> u64 {
    let wanted = (GenerationId(generation), EngineEventKind::Token(index));
    let found = outputs
        .iter()
        .find(|output| (output.generation, output.kind) == wanted);
    found.expect("the token came out").at_us
}

#[derive(Debug, Clone)]
struct Step {
    cancel: bool,
    job: GenerationRequest,
    wait_us: u64,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let template = u64::from(u8::arbitrary(g) % 4);
        let blocks = u64::from(u8::arbitrary(g) % 12);
        let prompt_tokens = u32::try_from(blocks * 16).unwrap() + u32::from(u8::arbitrary(g) % 16);
        let mut job = job(0, prompt_tokens + 1, u32::from(u8::arbitrary(g)) + 1);
        job.priority = i32::from(u8::arbitrary(g) % 3);
        job.prefix_hashes = (0..blocks).map(|block| template * 100 + block).collect();
        let wait_us = u64::from(u16::arbitrary(g)) * 8;
        Self {
            cancel: u8::arbitrary(g) % 8 == 0,
            job,
            wait_us,
        }
    }
}

/// Each generation emits 0, 1, 2, … and ends once, whole unless cancelled.
fn outputs_are_whole(lengths: &BTreeMap<GenerationId, u32>, outputs: &[EngineEvent]) -> bool {
    let mut tokens: BTreeMap<GenerationId, u32> = BTreeMap::new();
    let mut ended: BTreeMap<GenerationId, EndReason> = BTreeMap::new();
    for output in outputs {
        let count = tokens.entry(output.generation).or_default();
        match output.kind {
            EngineEventKind::Ended(end) => {
                if ended.insert(output.generation, end).is_some() {
                    return false;
                }
            }
            EngineEventKind::State(_) => {}
            EngineEventKind::Token(index) => {
                if index != *count || ended.contains_key(&output.generation) {
                    return false;
                }
                *count += 1;
            }
        }
    }
    let whole = |id, length| ended[id] == EndReason::Cancelled || tokens[id] == length;
    lengths.iter().all(|(id, length)| whole(id, *length))
}

fn every_generation_ends_once_and_memory_holds(steps: Vec<Step>) -> bool {
    const MEMORY_TOKENS: u64 = 1024;
    let mut engine = small_engine(MEMORY_TOKENS);
    let mut outputs = Vec::new();
    let mut lengths = BTreeMap::new();
    let mut now_us = 0;
    for (position, mut step) in steps.into_iter().enumerate() {
        now_us += step.wait_us;
        engine.advance(now_us, &mut outputs);
        step.job.generation = GenerationId(position as u128);
        lengths.insert(step.job.generation, step.job.length_tokens);
        engine.submit(now_us, step.job, &mut outputs).expect("fits");
        if step.cancel {
            engine.cancel(now_us, GenerationId(position as u128 / 2), &mut outputs);
        }
        if engine.load(now_us).memory_used_tokens > MEMORY_TOKENS {
            return false;
        }
    }
    while let Some(at_us) = engine.next_step_end_us() {
        engine.advance(at_us, &mut outputs);
        if engine.load(at_us).memory_used_tokens > MEMORY_TOKENS {
            return false;
        }
    }
    engine.load(now_us).memory_used_tokens == 0 && outputs_are_whole(&lengths, &outputs)
}

#[test]
fn generations_end_once_and_whole_within_the_memory() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(every_generation_ends_once_and_memory_holds as fn(Vec<Step>) -> bool);
}

#[test]
fn a_full_memory_preempts_the_lowest_priority() {
    let mut engine = small_engine(1600);
    let mut outputs = Vec::new();
    for generation in 0..3 {
        let mut job = job(generation, 400, 300);
        job.priority = i32::from(generation != 1);
        engine.submit(0, job, &mut outputs).expect("fits");
    }
    run(&mut engine, &mut outputs);
    let preempted = EngineEventKind::State(SequenceState::Preempted);
    let preempted = outputs.iter().filter(|output| output.kind == preempted);
    let preempted: Vec<u128> = preempted.map(|output| output.generation.0).collect();
    assert!(!preempted.is_empty() && preempted.iter().all(|generation| *generation == 1));
    assert_eq!(engine.load(0).preemptions, preempted.len() as u64);
}

#[test]
fn a_generation_that_fills_the_memory_alone_ends_by_length() {
    let mut engine = small_engine(800);
    let mut outputs = Vec::new();
    engine
        .submit(0, job(1, 400, 10_000), &mut outputs)
        .expect("fits");
    run(&mut engine, &mut outputs);
    assert_eq!(
        outputs.last().map(|o| o.kind),
        Some(EngineEventKind::Ended(EndReason::Length))
    );
}

#[test]
fn a_prompt_larger_than_the_memory_is_refused() {
    let mut outputs = Vec::new();
    assert!(
        small_engine(800)
            .submit(0, job(1, 800, 1), &mut outputs)
            .is_err()
    );
    assert!(outputs.is_empty());
}

#[test]
fn a_cached_prefix_brings_the_first_token_sooner() {
    let mut engine = small_engine(16_384);
    let mut outputs = Vec::new();
    let mut wanted = job(1, 4096, 1);
    wanted.prefix_hashes = (0..255).collect();
    engine
        .submit(0, wanted.clone(), &mut outputs)
        .expect("fits");
    run(&mut engine, &mut outputs);
    let first_us = token_time(&outputs, 1, 0);
    assert_eq!(engine.take_cache_update().added.len(), 255);
    wanted.generation = GenerationId(2);
    engine.submit(first_us, wanted, &mut outputs).expect("fits");
    run(&mut engine, &mut outputs);
    assert!((token_time(&outputs, 2, 0) - first_us) * 4 < first_us);
    assert!(engine.take_cache_update().added.is_empty());
}

#[test]
fn a_steady_batch_of_fifty_keeps_the_goal_of_34_ms() {
    let mut engine = EngineModel::new(EngineSettings::default());
    let mut outputs = Vec::new();
    for generation in 0..50 {
        engine
            .submit(0, job(generation, 1024, 600), &mut outputs)
            .expect("fits");
    }
    run(&mut engine, &mut outputs);
    let middle_us = token_time(&outputs, 0, 400) - token_time(&outputs, 0, 300);
    assert!((20_000..34_000).contains(&(middle_us / 100)));
}

#[test]
fn a_greater_priority_is_admitted_first() {
    let settings = EngineSettings {
        sequences_max: 1,
        ..EngineSettings::default()
    };
    let mut engine = EngineModel::new(settings);
    let mut outputs = Vec::new();
    for (generation, priority) in [(0, 0), (1, 0), (2, 5)] {
        let mut job = job(generation, 100, 10);
        job.priority = priority;
        engine.submit(0, job, &mut outputs).expect("fits");
    }
    run(&mut engine, &mut outputs);
    assert!(token_time(&outputs, 0, 0) < token_time(&outputs, 2, 0));
    assert!(token_time(&outputs, 2, 0) < token_time(&outputs, 1, 0));
}
