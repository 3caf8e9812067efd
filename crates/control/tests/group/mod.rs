//! Test group: instances in one process, connected by an in-memory network.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agreement::Envelope;
use control::{Error, GroupHandle, Settings, StateMachine, Transport};
use names::{InstanceName, LogIndex};
use slog::{Discard, Logger, o};
use tempfile::TempDir;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::time;

/// State machine that records every command and responds with the number of commands.
#[derive(Clone, Default)]
pub struct CommandLog(Arc<Mutex<Vec<Vec<u8>>>>);

impl CommandLog {
    pub fn all(&self) -> Vec<Vec<u8>> {
        self.0.lock().unwrap().clone()
    }
}

impl StateMachine for CommandLog {
    fn apply(&mut self, _index: LogIndex, _timestamp_ms: u64, command: &[u8]) -> Vec<u8> {
        let mut commands = self.0.lock().unwrap();
        commands.push(command.to_vec());
        commands.len().to_string().into_bytes()
    }

    fn restore(&mut self, snapshot: &[u8]) {
        *self.0.lock().unwrap() = postcard::from_bytes(snapshot).unwrap();
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&*self.0.lock().unwrap()).unwrap()
    }
}

#[derive(Default)]
struct NetworkState {
    isolated: Vec<InstanceName>,
    queues: Vec<(InstanceName, UnboundedSender<Envelope>)>,
}

/// In-memory network, on which instances can be isolated.
#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<NetworkState>>);

impl Transport for Network {
    fn send(&self, envelope: Envelope) {
        let network = self.0.lock().unwrap();
        if network.isolated.contains(&envelope.to) || network.isolated.contains(&envelope.from.name)
        {
            return;
        }
        let queue = network.queues.iter().find(|(name, _)| *name == envelope.to);
        if let Some((_, queue)) = queue {
            drop(queue.send(envelope));
        }
    }
}

pub struct Instance {
    pub commands: CommandLog,
    pub handle: Arc<GroupHandle>,
    delivery_task: tokio::task::JoinHandle<()>,
}

pub struct Group {
    folder: TempDir,
    pub instances: Vec<Option<Instance>>,
    pub network: Network,
    voter_count: usize,
}

pub fn instance_name(instance_id: usize) -> InstanceName {
    InstanceName::new(&format!("node-{instance_id}")).unwrap()
}

impl Group {
    pub fn open(voter_count: usize) -> Self {
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            instances: Vec::new(),
            network: Network::default(),
            voter_count,
        };
        for instance_id in 0..voter_count {
            group.instances.push(None);
            group.start(instance_id);
        }
        group
    }

    pub fn folder(&self, instance_id: usize) -> PathBuf {
        self.folder.path().join(instance_id.to_string())
    }

    pub fn settings(&self, instance_id: usize) -> Settings {
        let initial_voters = (0..self.voter_count).map(instance_name).collect();
        Settings {
            compact_after_bytes: 350_000,
            compact_after_entries: 50,
            ..Settings::new(
                &self.folder(instance_id),
                instance_name(instance_id),
                initial_voters,
                Logger::root(Discard, o!()),
            )
        }
    }

    pub fn start(&mut self, instance_id: usize) {
        let commands = CommandLog::default();
        let handle = GroupHandle::open(
            self.settings(instance_id),
            Box::new(commands.clone()),
            Arc::new(self.network.clone()),
        );
        self.add_running_instance(instance_id, commands, handle.unwrap());
    }

    pub fn add_running_instance(
        &mut self,
        instance_id: usize,
        commands: CommandLog,
        handle: GroupHandle,
    ) {
        let handle = Arc::new(handle);
        let (queue, mut envelopes) = mpsc::unbounded_channel();
        let receiver = handle.clone();
        let delivery_task = tokio::spawn(async move {
            while let Some(envelope) = envelopes.recv().await {
                receiver.deliver(envelope).await;
            }
        });
        let mut network = self.network.0.lock().unwrap();
        network
            .queues
            .retain(|(known, _)| *known != instance_name(instance_id));
        network.queues.push((instance_name(instance_id), queue));
        self.instances[instance_id] = Some(Instance {
            commands,
            handle,
            delivery_task,
        });
    }

    /// Stops an instance without a leadership transfer or a message to the others.
    pub async fn kill(&mut self, instance_id: usize) {
        let Instance {
            handle,
            delivery_task,
            ..
        } = self.instances[instance_id].take().unwrap();
        delivery_task.abort();
        drop(delivery_task.await);
        Arc::into_inner(handle).unwrap().close().await;
    }

    /// Restarts all initial voters but one, so that they drop the entries before their snapshot.
    pub async fn restart_all_except(&mut self, except: usize) {
        for instance_id in (0..self.voter_count).filter(|instance_id| *instance_id != except) {
            self.kill(instance_id).await;
            self.start(instance_id);
        }
    }

    pub async fn wipe(&mut self, instance_id: usize) {
        self.kill(instance_id).await;
        std::fs::remove_dir_all(self.folder(instance_id)).unwrap();
    }

    pub fn isolate(&self, instance_id: usize) {
        self.network
            .0
            .lock()
            .unwrap()
            .isolated
            .push(instance_name(instance_id));
    }

    pub fn reconnect_all(&self) {
        self.network.0.lock().unwrap().isolated.clear();
    }

    pub fn handle(&self, instance_id: usize) -> &GroupHandle {
        &self.instances[instance_id].as_ref().unwrap().handle
    }

    pub fn commands(&self, instance_id: usize) -> Vec<Vec<u8>> {
        self.instances[instance_id].as_ref().unwrap().commands.all()
    }

    /// Running instance that leads in the latest term.
    pub fn leader(&self) -> Option<usize> {
        let running =
            (0..self.instances.len()).filter(|instance_id| self.instances[*instance_id].is_some());
        let statuses = running.map(|instance_id| {
            (
                instance_id,
                self.handle(instance_id).leader_status().borrow().clone(),
            )
        });
        statuses
            .filter(|(_, status)| status.is_leader)
            .max_by_key(|(_, status)| status.term)
            .map(|(instance_id, _)| instance_id)
    }

    /// Proposes a command to the current leader until one reports that it is committed.
    pub async fn propose(&self, command: &str) {
        loop {
            if let Some(leader) = self.leader() {
                let result = self.handle(leader).propose(command.into()).await;
                match result {
                    Ok(_) => return,
                    Err(Error::NotLeader { .. } | Error::Unknown) => {}
                    Err(other) => panic!("{other}"),
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a condition holds, for at most two minutes of virtual time.
    pub async fn wait_until(&self, condition: impl AsyncFn(&Self) -> bool) {
        for _ in 0..2_400 {
            if condition(self).await {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        for instance in self.instances.iter().flatten() {
            println!("{:#?}", instance.handle.status().await);
        }
        panic!("the condition did not hold within two minutes of virtual time");
    }

    pub async fn wait_until_all_voters_joined(&self) {
        self.wait_until(async |group| {
            let Some(leader) = group.leader() else {
                return false;
            };
            let status = group.handle(leader).status().await.unwrap().replica;
            let is_voter = |instance_id: usize| {
                status
                    .membership
                    .is_voter(group.handle(instance_id).member())
            };
            status.membership_committed && (0..group.voter_count).all(is_voter)
        })
        .await;
    }
}
