//! Measures commits per second and commit latency of three instances on one disk:
//! `group_rate FOLDER`.

use std::env;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use agreement::Envelope;
use control::{GroupHandle, Settings, StateMachine, Transport};
use names::{InstanceName, LogIndex};
use slog::{Discard, Logger, o};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time;

const COMMAND_BYTES: usize = 200;
const INSTANCE_COUNT: usize = 3;
const MEASUREMENT_TIME: Duration = Duration::from_secs(3);

/// State machine that counts commands.
struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _index: LogIndex, _timestamp_ms: u64, _command: &[u8]) -> Vec<u8> {
        self.0 += 1;
        Vec::new()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        self.0 = u64::from_le_bytes(snapshot.try_into().expect("eight bytes"));
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.to_le_bytes().to_vec()
    }
}

/// Message queue of one instance.
struct Queue {
    name: InstanceName,
    sender: UnboundedSender<Envelope>,
}

/// In-memory network with a message queue for each instance.
#[derive(Clone)]
struct Queues(Arc<Mutex<Vec<Queue>>>);

impl Transport for Queues {
    fn send(&self, envelope: Envelope) {
        let queues = self.0.lock().expect("no thread panics with the lock");
        let queue = queues.iter().find(|queue| queue.name == envelope.to);
        if let Some(queue) = queue {
            drop(queue.sender.send(envelope));
        }
    }
}

fn instance_name(instance_id: usize) -> InstanceName {
    InstanceName::new(&format!("node-{instance_id}")).expect("the name is valid")
}

fn open(folder: &Path, instance_id: usize, queues: &Queues) -> Arc<GroupHandle> {
    let initial_voters = (0..INSTANCE_COUNT).map(instance_name).collect();
    let log = Logger::root(Discard, o!());
    let settings = Settings::new(
        &folder.join(instance_id.to_string()),
        instance_name(instance_id),
        initial_voters,
        log,
    );
    let handle = GroupHandle::open(settings, Box::new(Counter(0)), Arc::new(queues.clone()));
    let handle = Arc::new(handle.expect("the folder can be opened"));
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut queue_list = queues.0.lock().expect("no thread panics with the lock");
    let name = instance_name(instance_id);
    queue_list.push(Queue { name, sender });
    tokio::spawn(deliver(handle.clone(), receiver));
    handle
}

async fn deliver(handle: Arc<GroupHandle>, mut envelopes: UnboundedReceiver<Envelope>) {
    while let Some(envelope) = envelopes.recv().await {
        handle.deliver(envelope).await;
    }
}

async fn leader(handles: &[Arc<GroupHandle>]) -> Arc<GroupHandle> {
    loop {
        let is_leader = |handle: &&Arc<GroupHandle>| handle.leader_status().borrow().is_leader;
        if let Some(leader) = handles.iter().find(is_leader) {
            return leader.clone();
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Proposes commands one after another; returns their latencies.
async fn propose_until(handle: Arc<GroupHandle>, deadline: Instant) -> Vec<Duration> {
    let mut latencies = Vec::new();
    while Instant::now() < deadline {
        let proposed_at = Instant::now();
        let response = handle.propose(vec![7; COMMAND_BYTES]).await;
        response.expect("the leader stays");
        latencies.push(proposed_at.elapsed());
    }
    latencies
}

async fn measure(handle: &Arc<GroupHandle>, proposer_count: usize) {
    let start = Instant::now();
    let tasks: Vec<_> = (0..proposer_count)
        .map(|_| tokio::spawn(propose_until(handle.clone(), start + MEASUREMENT_TIME)))
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("proposers do not panic"));
    }
    let elapsed_ms = start.elapsed().as_millis();
    latencies.sort_unstable();
    println!(
        "callers={proposer_count} commits_per_s={} p50_us={} p99_us={}",
        latencies.len() as u128 * 1_000 / elapsed_ms,
        latencies[latencies.len() / 2].as_micros(),
        latencies[latencies.len() * 99 / 100].as_micros(),
    );
}

#[tokio::main]
async fn main() {
    let folder = env::args().nth(1).expect("usage: group_rate FOLDER");
    let queues = Queues(Arc::default());
    let handles: Vec<_> = (0..INSTANCE_COUNT)
        .map(|instance_id| open(Path::new(&folder), instance_id, &queues))
        .collect();
    let leader = leader(&handles).await;
    for exponent in 0..=8 {
        measure(&leader, 1 << exponent).await;
    }
    time::sleep(MEASUREMENT_TIME).await;
}
