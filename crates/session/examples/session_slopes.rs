//! Measures the session core at several fleet sizes: traffic, processor time and reassigned shards;
//! also fault detection times and false suspicions.
//!
//! Run with `cargo run --release -p session --example session_slopes`. Processor time covers the
//! whole simulation loop with queue and encoding, divided by the number of instances.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

use names::{Epoch, LogIndex};
use rand::RngExt;
use session::{Assignments, Roster, plan_reassignments, plan_unassigned};
use support::fleet::{Fleet, Layout};
use support::{instance, member, shard};
use table::{Item, ItemId, Revision, Row, RowKey, VersionedItem};

const CHANGES_PER_DAY: u64 = 110_000;
const CHANGE_INTERVAL_MS: u64 = 24 * 3_600_000 / CHANGES_PER_DAY;
const CUSTOMERS: u64 = 37_000;
const DETECTION_SEEDS: u64 = 300;
const HOUR_MS: u64 = 3_600_000;
const JOIN_MS: u64 = 8_000;
const MEASURE_MS: u64 = 60_000;
const SHARDS: u16 = 375;
const SIZES: [usize; 4] = [9, 32, 100, 320];
const WARM_MS: u64 = 15_000;

/// Messages, bytes and processor time per second: means of all instances, maxima of one.
struct RatesPerSecond {
    bytes: f64,
    bytes_max: f64,
    cpu_us: f64,
    messages: f64,
    messages_max: f64,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    CutOff,
    Dead,
    Stalled,
}

fn layout(instances: usize, seed: u64) -> Layout {
    let (data_centres, voters) = match instances {
        ..=9 => (3, 3),
        10..=32 => (3, 5),
        33..=100 => (7, 5),
        _ => (22, 7),
    };
    Layout {
        data_centres,
        instances,
        loss_percent: 0,
        seed,
        voters,
    }
}

fn started_fleet(instances: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&layout(instances, seed));
    fleet.is_measured = true;
    // Owners are chosen from all instances only when the roster lists all of them.
    fleet.run_until(JOIN_MS);
    fleet.nodes[instances - 1].request_owners(&(0..SHARDS).map(shard).collect::<Vec<_>>());
    fleet.run_until(WARM_MS);
    fleet
}

fn change(revision: u64) -> VersionedItem {
    let row = Row {
        models: Vec::new(),
        priority: 1,
        queued_max: 100,
        queueing_ms_max: 30_000,
        running_max: 10,
        tokens_per_second_max: Some(2_000),
        urgent_share_percent: 20,
        weight: 100,
        window: None,
    };
    let customer = format!("customer-{:05}", revision * 7_919 % CUSTOMERS);
    VersionedItem {
        item: Some(Item::Row(row)),
        revision: Revision(revision),
        item_id: ItemId::Row(RowKey {
            customer: customer.parse().expect("a name"),
            kind: "syllabus".parse().expect("a name"),
        }),
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures of a table")]
fn measure(instances: usize, edits: bool) -> RatesPerSecond {
    let mut fleet = started_fleet(instances, 1);
    fleet.traffic.fill(support::fleet::Traffic::default());
    let (start, until_ms) = (Instant::now(), fleet.now_ms + MEASURE_MS);
    while fleet.now_ms < until_ms {
        if edits {
            let revision = fleet.committed.table_revision + 1;
            fleet.edit(Some(change(revision)));
        }
        fleet.run_until(fleet.now_ms + CHANGE_INTERVAL_MS);
    }
    let seconds = (MEASURE_MS / 1_000) as f64;
    let per_node = seconds * instances as f64;
    let bytes = fleet.traffic.iter().map(|traffic| traffic.bytes);
    let messages = fleet.traffic.iter().map(|traffic| traffic.messages);
    RatesPerSecond {
        bytes: bytes.clone().sum::<u64>() as f64 / per_node,
        bytes_max: bytes.max().unwrap_or_default() as f64 / seconds,
        cpu_us: start.elapsed().as_micros() as f64 / per_node,
        messages: messages.clone().sum::<u64>() as f64 / per_node,
        messages_max: messages.max().unwrap_or_default() as f64 / seconds,
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures of a table")]
fn print_traffic() {
    println!(
        "instances  sent/s  max/s  bytes/s  max_bytes/s  cpu_us/s  change_bytes  change_cpu_us/s"
    );
    for instances in SIZES {
        let quiet = measure(instances, false);
        let edited = measure(instances, true);
        let changes_per_second = 1_000.0 / CHANGE_INTERVAL_MS as f64;
        println!(
            "{instances:9}  {:6.2}  {:5.1}  {:7.0}  {:11.0}  {:8.1}  {:12.0}  {:15.1}",
            quiet.messages,
            quiet.messages_max,
            quiet.bytes,
            quiet.bytes_max,
            quiet.cpu_us,
            (edited.bytes - quiet.bytes) / changes_per_second,
            edited.cpu_us - quiet.cpu_us,
        );
    }
}

/// Prints the share of shards reassigned when one instance is lost: mean and greatest, in percent.
fn print_reassigned() {
    println!("instances  moved_mean_%  moved_max_%  ideal_%");
    for instances in SIZES {
        let mut roster = Roster::new(1);
        (0..instances).for_each(|number| roster.insert(&member(number)));
        let mut assignments = Assignments::default();
        let wanted: Vec<_> = (0..SHARDS).map(shard).collect();
        for (index, command) in plan_unassigned(&roster, &assignments, &wanted)
            .iter()
            .enumerate()
        {
            assignments.apply(LogIndex(index as u64 + 1), command);
        }
        let reassigned: Vec<usize> = (0..instances)
            .map(|number| {
                let mut remaining = roster.clone();
                remaining.remove(&instance(number));
                plan_reassignments(&remaining, &assignments, Epoch(0)).len()
            })
            .collect();
        let percent = |count: usize, of: usize| {
            let permille = count * 10_000 / (of * usize::from(SHARDS));
            format!("{}.{:02}", permille / 100, permille % 100)
        };
        println!(
            "{instances:9}  {:>12}  {:>11}  {:>7}",
            percent(reassigned.iter().sum(), instances),
            percent(reassigned.iter().copied().max().unwrap_or_default(), 1),
            percent(usize::from(SHARDS), instances),
        );
    }
}

fn inject_fault(fleet: &mut Fleet, fault: Fault, node_index: usize) {
    match fault {
        Fault::CutOff => {
            let others = 0..fleet.nodes.len();
            let links = others.flat_map(|other| [(node_index, other), (other, node_index)]);
            fleet.cut_links.extend(links);
        }
        Fault::Dead => fleet.nodes[node_index].alive = false,
        Fault::Stalled => fleet.nodes[node_index].stalled_until_ms = u64::MAX / 2,
    }
}

/// Times from a fault to the removal from the roster, and to the next acting owner of a shard.
fn measure_detection(fault: Fault, seed: u64) -> (u64, u64) {
    const INSTANCES: usize = 32;
    let mut fleet = started_fleet(INSTANCES, seed);
    let wait_ms = fleet.random.random_range(0..1_000);
    fleet.run_until(fleet.now_ms + wait_ms);
    let node_index = fleet.random.random_range(5..INSTANCES);
    let owned = (0..SHARDS)
        .map(shard)
        .find(|shard| fleet.acting_owners(shard) == [node_index])
        .expect("each instance owns a shard");
    let start_ms = fleet.now_ms;
    inject_fault(&mut fleet, fault, node_index);
    let has_new_owner = |fleet: &Fleet| {
        fleet
            .acting_owners(&owned)
            .iter()
            .any(|&owner| owner != node_index)
    };
    while !has_new_owner(&fleet) {
        fleet.run_until(fleet.now_ms + 10);
    }
    let (removed_ms, _) = fleet
        .removed
        .first()
        .expect("the roster no longer lists it");
    (removed_ms - start_ms, fleet.now_ms - start_ms)
}

fn print_detection() {
    println!("fault     removed_p50_ms  removed_p99_ms  owned_p50_ms  owned_p99_ms");
    for fault in [Fault::Dead, Fault::Stalled, Fault::CutOff] {
        let times: Vec<(u64, u64)> = (0..DETECTION_SEEDS)
            .map(|seed| measure_detection(fault, seed))
            .collect();
        let quantile = |percent: usize, of: fn(&(u64, u64)) -> u64| {
            let mut sorted: Vec<u64> = times.iter().map(of).collect();
            sorted.sort_unstable();
            sorted[(sorted.len() - 1) * percent / 100]
        };
        println!(
            "{:8}  {:14}  {:14}  {:12}  {:12}",
            format!("{fault:?}"),
            quantile(50, |time| time.0),
            quantile(99, |time| time.0),
            quantile(50, |time| time.1),
            quantile(99, |time| time.1),
        );
    }
}

/// Simulates one hour of 32 instances that stall for 500 ms about every ten seconds.
fn print_false_suspicions() {
    const INSTANCES: usize = 32;
    println!("loss_%  stall_ms  removed/h  lease_lapses/h");
    for (loss_percent, stall_ms) in [(0, 0), (1, 0), (0, 500), (1, 500)] {
        let mut fleet = started_fleet(INSTANCES, 7);
        fleet.loss_percent = loss_percent;
        fleet.removed.clear();
        let mut was_admitting = [true; INSTANCES];
        let mut lapses = 0;
        let until_ms = fleet.now_ms + HOUR_MS;
        while fleet.now_ms < until_ms {
            for (node_index, was_admitting) in was_admitting.iter_mut().enumerate() {
                if stall_ms > 0 && fleet.random.random_range(0..100) == 0 {
                    fleet.nodes[node_index].stalled_until_ms = fleet.now_ms + stall_ms;
                }
                let admits = fleet.nodes[node_index].admits_work(fleet.now_ms);
                lapses += usize::from(*was_admitting && !admits);
                *was_admitting = admits;
            }
            fleet.run_until(fleet.now_ms + 100);
        }
        println!(
            "{loss_percent:6}  {stall_ms:8}  {:9}  {lapses:14}",
            fleet.removed.len()
        );
    }
}

fn main() {
    print_traffic();
    print_reassigned();
    print_detection();
    print_false_suspicions();
}
