use std::hint::black_box;
use std::time::Instant;

use entry::core::{
    FailurePoint, GenerationAction, GenerationCall, GenerationEvent, ResponseMode, StallTimeouts,
};
use names::GenerationId;

/// Token events per measurement.
const EVENTS: u32 = 20_000_000;

/// Calls per measurement.
const CALLS: u32 = 500_000;

/// Prints the time that the core takes per event, without I/O.
pub fn measure() {
    println!("core, token event: {:.1} ns", token_ns());
    println!(
        "core, start, failed link and restart: {:.0} ns",
        restart_ns()
    );
}

fn open_stream(
    call: &mut GenerationCall,
    actions: &mut Vec<GenerationAction>,
    generation: GenerationId,
) {
    let stall_timeouts = StallTimeouts::default();
    let granted = GenerationEvent::PermitGranted {
        generation,
        stall_timeouts,
    };
    call.handle(1, granted, actions);
    call.handle(2, GenerationEvent::StreamOpened { generation }, actions);
}

fn restart_ns() -> f64 {
    let mut actions = Vec::new();
    let start_time = Instant::now();
    for seed in 0..CALLS {
        actions.clear();
        let mut call =
            GenerationCall::start(ResponseMode::Stream, u64::MAX, seed.into(), &mut actions);
        let generation = GenerationId(1);
        open_stream(&mut call, &mut actions, generation);
        let point = FailurePoint::Body;
        call.handle(
            3,
            GenerationEvent::ConnectionFailed { generation, point },
            &mut actions,
        );
        call.handle(4, GenerationEvent::BudgetGranted, &mut actions);
        open_stream(&mut call, &mut actions, GenerationId(2));
        black_box(&actions);
    }
    start_time.elapsed().as_secs_f64() * 1e9 / f64::from(CALLS)
}

fn token_ns() -> f64 {
    let mut actions = Vec::new();
    let mut call = GenerationCall::start(ResponseMode::Stream, u64::MAX, 1, &mut actions);
    let generation = GenerationId(1);
    open_stream(&mut call, &mut actions, generation);
    let start_time = Instant::now();
    for index in 0..EVENTS {
        actions.clear();
        let token = GenerationEvent::Token { generation, index };
        call.handle(3 + u64::from(index), token, &mut actions);
        black_box(&actions);
    }
    start_time.elapsed().as_secs_f64() * 1e9 / f64::from(EVENTS)
}
