//! Long randomised simulation of Raft replicas: `soak --seed 1 --steps 1000000`.

mod simulation;

use std::env;

use simulation::schedule::run_schedule;

/// Number of simulation steps per group.
const RUN_STEPS: u64 = 20_000;

fn argument(name: &str, default: u64) -> u64 {
    let mut arguments = env::args().skip_while(|argument| argument != name).skip(1);
    arguments.next().map_or(default, |value| {
        value
            .parse()
            .unwrap_or_else(|_| panic!("{name} takes a number"))
    })
}

fn main() {
    let first_seed = argument("--seed", 1);
    let steps = argument("--steps", 200_000);
    let runs = steps.div_ceil(RUN_STEPS);
    let summary = (first_seed..first_seed + runs)
        .map(|seed| {
            let voters = if seed % 3 == 0 { 5 } else { 3 };
            eprintln!("seed={seed} voters={voters}");
            run_schedule(seed, voters, RUN_STEPS)
        })
        .reduce(simulation::Summary::combine);
    println!("runs={runs} steps={} {summary:?}", runs * RUN_STEPS);
}
