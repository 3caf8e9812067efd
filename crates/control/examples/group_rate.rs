//! Commits a second and latency of three instances on one disk: `group_rate FOLDER`.

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
const INSTANCES: usize = 3;
const MEASURED: Duration = Duration::from_secs(3);

/// State machine that counts commands.
struct Counter(u64);

impl StateMachine for Counter {
    fn apply(&mut self, _index: LogIndex, _at_ms: u64, _command: &[u8]) -> Vec<u8> {
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

/// Messages for one instance.
struct Queue {
    name: InstanceName,
    sender: UnboundedSender<Envelope>,
}

/// Queues in memory, one for each instance.
#[derive(Clone)]
struct Queues(Arc<Mutex<Vec<Queue>>>);

impl Transport for Queues {
    fn send(&self, envelope: Envelope) {
        let queues = self.0.lock().expect("no holder panics");
        let queue = queues.iter().find(|queue| queue.name == envelope.to);
        if let Some(queue) = queue {
            drop(queue.sender.send(envelope));
        }
    }
}

fn name(at: usize) -> InstanceName {
    InstanceName::new(&format!("node-{at}")).expect("the name is valid")
}

fn open(folder: &Path, at: usize, queues: &Queues) -> Arc<GroupHandle> {
    let names = (0..INSTANCES).map(name).collect();
    let log = Logger::root(Discard, o!());
    let settings = Settings::new(&folder.join(at.to_string()), name(at), names, log);
    let control = GroupHandle::open(settings, Box::new(Counter(0)), Arc::new(queues.clone()));
    let control = Arc::new(control.expect("the folder can be opened"));
    let (sender, receiver) = mpsc::unbounded_channel();
    let mut known = queues.0.lock().expect("no holder panics");
    let name = name(at);
    known.push(Queue { name, sender });
    tokio::spawn(deliver(control.clone(), receiver));
    control
}

async fn deliver(control: Arc<GroupHandle>, mut envelopes: UnboundedReceiver<Envelope>) {
    while let Some(envelope) = envelopes.recv().await {
        control.deliver(envelope).await;
    }
}

async fn leader(controls: &[Arc<GroupHandle>]) -> Arc<GroupHandle> {
    loop {
        let leads = |control: &&Arc<GroupHandle>| control.leader_status().borrow().is_leader;
        if let Some(leader) = controls.iter().find(leads) {
            return leader.clone();
        }
        time::sleep(Duration::from_millis(50)).await;
    }
}

/// Proposes one command after another; gives their latencies.
async fn propose_until(control: Arc<GroupHandle>, deadline: Instant) -> Vec<Duration> {
    let mut latencies = Vec::new();
    while Instant::now() < deadline {
        let before = Instant::now();
        let answer = control.propose(vec![7; COMMAND_BYTES]).await;
        answer.expect("the leader stays");
        latencies.push(before.elapsed());
    }
    latencies
}

async fn measure(control: &Arc<GroupHandle>, callers: usize) {
    let start = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| tokio::spawn(propose_until(control.clone(), start + MEASURED)))
        .collect();
    let mut latencies = Vec::new();
    for task in tasks {
        latencies.extend(task.await.expect("callers do not panic"));
    }
    let elapsed_ms = start.elapsed().as_millis();
    latencies.sort_unstable();
    println!(
        "callers={callers} commits_per_s={} p50_us={} p99_us={}",
        latencies.len() as u128 * 1_000 / elapsed_ms,
        latencies[latencies.len() / 2].as_micros(),
        latencies[latencies.len() * 99 / 100].as_micros(),
    );
}

#[tokio::main]
async fn main() {
    let folder = env::args().nth(1).expect("usage: group_rate FOLDER");
    let queues = Queues(Arc::default());
    let controls: Vec<_> = (0..INSTANCES)
        .map(|at| open(Path::new(&folder), at, &queues))
        .collect();
    let leader = leader(&controls).await;
    for shift in 0..=8 {
        measure(&leader, 1 << shift).await;
    }
    time::sleep(MEASURED).await;
}
