//! Long randomised run of the log replication core: `soak --seed 1 --steps 1000000`.

mod simulation;

use std::env;

use simulation::schedule::run;

/// Steps of one run, after which a new group starts.
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
            run(seed, voters, RUN_STEPS)
        })
        .reduce(simulation::Summary::plus);
    println!("runs={runs} steps={} {summary:?}", runs * RUN_STEPS);
}
