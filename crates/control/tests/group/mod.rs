//! Instances of one group in one process, joined by a network in memory.

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

/// State machine that keeps every command and answers with their number.
#[derive(Clone, Default)]
pub struct Commands(Arc<Mutex<Vec<Vec<u8>>>>);

impl Commands {
    pub fn all(&self) -> Vec<Vec<u8>> {
        self.0.lock().unwrap().clone()
    }
}

impl StateMachine for Commands {
    fn apply(&mut self, _index: LogIndex, _at_ms: u64, command: &[u8]) -> Vec<u8> {
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
struct Links {
    cut_off: Vec<InstanceName>,
    inboxes: Vec<(InstanceName, UnboundedSender<Envelope>)>,
}

#[derive(Clone, Default)]
pub struct Network(Arc<Mutex<Links>>);

impl Transport for Network {
    fn send(&self, envelope: Envelope) {
        let links = self.0.lock().unwrap();
        if links.cut_off.contains(&envelope.to) || links.cut_off.contains(&envelope.from.name) {
            return;
        }
        let inbox = links.inboxes.iter().find(|(name, _)| *name == envelope.to);
        if let Some((_, inbox)) = inbox {
            drop(inbox.send(envelope));
        }
    }
}

pub struct Instance {
    pub commands: Commands,
    pub control: Arc<GroupHandle>,
    pump: tokio::task::JoinHandle<()>,
}

pub struct Group {
    folder: TempDir,
    pub instances: Vec<Option<Instance>>,
    pub network: Network,
    voters: usize,
}

pub fn name(at: usize) -> InstanceName {
    InstanceName::new(&format!("node-{at}")).unwrap()
}

impl Group {
    pub fn open(voters: usize) -> Self {
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            instances: Vec::new(),
            network: Network::default(),
            voters,
        };
        for at in 0..voters {
            group.instances.push(None);
            group.start(at);
        }
        group
    }

    pub fn folder(&self, at: usize) -> PathBuf {
        self.folder.path().join(at.to_string())
    }

    pub fn settings(&self, at: usize) -> Settings {
        let voters = (0..self.voters).map(name).collect();
        Settings {
            compact_after_entries: 50,
            ..Settings::new(
                &self.folder(at),
                name(at),
                voters,
                Logger::root(Discard, o!()),
            )
        }
    }

    pub fn start(&mut self, at: usize) {
        let commands = Commands::default();
        let control = GroupHandle::open(
            self.settings(at),
            Box::new(commands.clone()),
            Arc::new(self.network.clone()),
        );
        self.adopt(at, commands, control.unwrap());
    }

    pub fn adopt(&mut self, at: usize, commands: Commands, control: GroupHandle) {
        let control = Arc::new(control);
        let (inbox, mut envelopes) = mpsc::unbounded_channel();
        let target = control.clone();
        let pump = tokio::spawn(async move {
            while let Some(envelope) = envelopes.recv().await {
                target.deliver(envelope).await;
            }
        });
        let mut links = self.network.0.lock().unwrap();
        links.inboxes.retain(|(known, _)| *known != name(at));
        links.inboxes.push((name(at), inbox));
        self.instances[at] = Some(Instance {
            commands,
            control,
            pump,
        });
    }

    /// Stops an instance without any farewell.
    pub async fn kill(&mut self, at: usize) {
        let Instance { control, pump, .. } = self.instances[at].take().unwrap();
        pump.abort();
        drop(pump.await);
        Arc::into_inner(control).unwrap().close().await;
    }

    /// Starts all but one again: they keep the log in memory only behind their last snapshot.
    pub async fn forget_log(&mut self, except: usize) {
        for at in (0..self.voters).filter(|at| *at != except) {
            self.kill(at).await;
            self.start(at);
        }
    }

    pub async fn wipe(&mut self, at: usize) {
        self.kill(at).await;
        std::fs::remove_dir_all(self.folder(at)).unwrap();
    }

    pub fn cut_off(&self, at: usize) {
        self.network.0.lock().unwrap().cut_off.push(name(at));
    }

    pub fn heal(&self) {
        self.network.0.lock().unwrap().cut_off.clear();
    }

    pub fn control(&self, at: usize) -> &GroupHandle {
        &self.instances[at].as_ref().unwrap().control
    }

    pub fn commands(&self, at: usize) -> Vec<Vec<u8>> {
        self.instances[at].as_ref().unwrap().commands.all()
    }

    /// Running instances that lead in the latest term.
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.instances.len()).filter(|at| self.instances[*at].is_some());
        let roles = running.map(|at| (at, self.control(at).leader_status().borrow().clone()));
        roles
            .filter(|(_, role)| role.is_leader)
            .max_by_key(|(_, role)| role.term)
            .map(|(at, _)| at)
    }

    /// Proposes at whichever instance leads, until one says that the command is committed.
    pub async fn propose(&self, command: &str) {
        loop {
            if let Some(leader) = self.leader() {
                let proposed = self.control(leader).propose(command.into()).await;
                match proposed {
                    Ok(_) => return,
                    Err(Error::NotLeader { .. } | Error::Unknown) => {}
                    Err(other) => panic!("{other}"),
                }
            }
            time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until a condition holds.
    pub async fn until(&self, holds: impl AsyncFn(&Self) -> bool) {
        for _ in 0..2_400 {
            if holds(self).await {
                return;
            }
            time::sleep(Duration::from_millis(50)).await;
        }
        for instance in self.instances.iter().flatten() {
            println!("{:#?}", instance.control.status().await);
        }
        panic!("the condition did not hold within two minutes of virtual time");
    }

    pub async fn until_whole(&self) {
        self.until(async |group| {
            let Some(leader) = group.leader() else {
                return false;
            };
            let status = group.control(leader).status().await.unwrap().replica;
            let is_voter = |at: usize| status.membership.is_voter(group.control(at).member());
            status.membership_committed && (0..group.voters).all(is_voter)
        })
        .await;
    }
}
