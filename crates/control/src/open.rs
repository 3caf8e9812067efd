use std::sync::Arc;
use std::time::Duration;

use agreement::{GroupId, Member, Recovered, StorageId};
use journal::{FolderStorage, Journal, Opened, Storage};
use tokio::time::{self, MissedTickBehavior};
use xtra::Mailbox;

use crate::host::{Event, Host, Inbox, Links};
use crate::writer::Writer;
use crate::{Error, GroupHandle, Settings, StateMachine, Transport, codec};

/// What one group is opened with.
pub struct GroupParts {
    /// Its state machine.
    pub machine: Box<dyn StateMachine>,
    /// Its settings, with its number; the instance is the same in all groups of a folder.
    pub settings: Settings,
    /// Network to other instances.
    pub transport: Arc<dyn Transport>,
}

impl GroupHandle {
    /// Opens the data folder and starts to take part in the group.
    ///
    /// # Errors
    ///
    /// Refuses a data folder in use, of another instance or damaged, and state that it cannot
    /// decode.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open(
        settings: Settings,
        machine: Box<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, Error> {
        let storage = FolderStorage::open(&settings.folder)?;
        Self::open_on(Box::new(storage), settings, machine, transport)
    }

    /// Opens the group on any storage in place of the data folder.
    ///
    /// # Errors
    ///
    /// Refuses files of another instance, damaged files, and state that it cannot decode.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open_on(
        storage: Box<dyn Storage>,
        settings: Settings,
        machine: Box<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, Error> {
        let parts = GroupParts {
            machine,
            settings,
            transport,
        };
        let mut controls = Self::open_groups(storage, vec![parts])?;
        Ok(controls.pop().expect("one group was opened"))
    }

    /// Opens several groups, which share one journal and its syncs.
    ///
    /// The handles come in the order of the groups given.
    ///
    /// # Errors
    ///
    /// Refuses files of another instance, damaged files, and state that it cannot decode.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, without groups, and with groups of several instances.
    pub fn open_groups(
        storage: Box<dyn Storage>,
        groups: Vec<GroupParts>,
    ) -> Result<Vec<Self>, Error> {
        let settings = &groups.first().expect("a group is given").settings;
        let instance = &settings.instance;
        assert!(
            groups
                .iter()
                .all(|parts| parts.settings.instance == *instance),
            "all groups of a folder belong to one instance"
        );
        let opened = Journal::open_on(storage, journal::Settings::new(instance.as_str()))?;
        log_cut_tail(settings, &opened);
        let member = Member {
            name: instance.clone(),
            storage: StorageId(opened.journal.identity().storage),
        };
        let recovered = groups
            .iter()
            .map(|parts| recover(&opened, parts.settings.group))
            .collect::<Result<Vec<_>, _>>()?;
        let writer = Writer::spawn(opened.journal);
        let controls = groups.into_iter().zip(recovered);
        let controls = controls.map(|(parts, recovered)| spawn(parts, &member, recovered, &writer));
        Ok(controls.collect())
    }
}

fn log_cut_tail(settings: &Settings, opened: &Opened) {
    if let Some(tail) = &opened.cut_tail {
        slog::warn!(settings.log, "cut an unfinished write off the journal";
            "file" => &tail.file, "offset_bytes" => tail.offset_bytes,
            "length_bytes" => tail.length_bytes);
    }
}

fn recover(opened: &Opened, group: GroupId) -> Result<Recovered, Error> {
    let found = opened.groups.iter().find(|known| known.group == group.0);
    codec::recover(found)
}

fn spawn(parts: GroupParts, member: &Member, recovered: Recovered, writer: &Writer) -> GroupHandle {
    let GroupParts {
        machine,
        settings,
        transport,
    } = parts;
    let group = settings.group;
    let tick_interval = Duration::from_millis(settings.tick_interval_ms);
    let (address, mailbox) = Mailbox::unbounded();
    let (inbox, events) = Inbox::new(address.downgrade());
    let links = Links {
        inbox: inbox.clone(),
        jobs: writer.jobs.clone(),
        transport,
    };
    let (host, applied, role) = Host::new(settings, member, recovered, machine, events, links);
    tokio::spawn(xtra::run(mailbox, host));
    tokio::spawn(tick(inbox.clone(), tick_interval));
    GroupHandle {
        applied,
        group,
        host: address,
        inbox,
        member: member.clone(),
        role,
        writer: writer.ended.clone(),
    }
}

/// Wakes the host until it is gone.
async fn tick(host: Inbox, interval: Duration) {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if host.send(Event::Tick).await.is_err() {
            return;
        }
    }
}
