use std::sync::Arc;
use std::time::Duration;

use agreement::{GroupId, Member, RecoveredState, StorageId};
use journal::{FolderStorage, Journal, OpenedJournal, Storage};
use tokio::time::{self, MissedTickBehavior};
use xtra::Mailbox;

use crate::host::{Event, EventSender, HostChannels, ReplicaHost};
use crate::journal_writer::JournalWriter;
use crate::{Error, GroupHandle, Settings, StateMachine, Transport, codec};

/// Configuration of a group to be opened.
pub struct GroupConfig {
    /// Settings of the group; `instance` must be equal for all groups of a folder.
    pub settings: Settings,
    /// State machine of the group.
    pub state_machine: Box<dyn StateMachine>,
    /// Network to the other instances.
    pub transport: Arc<dyn Transport>,
}

impl GroupHandle {
    /// Opens the data folder and starts the replica of the group.
    ///
    /// # Errors
    ///
    /// Fails if the data folder is in use, belongs to another instance, is corrupted or cannot be
    /// decoded.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open(
        settings: Settings,
        state_machine: Box<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, Error> {
        let storage = FolderStorage::open(&settings.folder)?;
        Self::open_with_storage(Box::new(storage), settings, state_machine, transport)
    }

    /// Like [`GroupHandle::open`], but on any storage instead of the data folder.
    ///
    /// # Errors
    ///
    /// Fails if the files belong to another instance, are corrupted or cannot be decoded.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub fn open_with_storage(
        storage: Box<dyn Storage>,
        settings: Settings,
        state_machine: Box<dyn StateMachine>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self, Error> {
        let config = GroupConfig {
            settings,
            state_machine,
            transport,
        };
        let mut handles = Self::open_groups(storage, vec![config])?;
        Ok(handles.pop().expect("one group was opened"))
    }

    /// Opens several groups that share one journal and its syncs.
    ///
    /// Returns the handles in the order of `groups`.
    ///
    /// # Errors
    ///
    /// Fails if the files belong to another instance, are corrupted or cannot be decoded.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime, without groups, and with groups of several instances.
    pub fn open_groups(
        storage: Box<dyn Storage>,
        groups: Vec<GroupConfig>,
    ) -> Result<Vec<Self>, Error> {
        let settings = &groups.first().expect("a group is given").settings;
        let instance = &settings.instance;
        assert!(
            groups
                .iter()
                .all(|config| config.settings.instance == *instance),
            "all groups of a folder belong to one instance"
        );
        let opened =
            Journal::open_with_storage(storage, journal::JournalSettings::new(instance.as_str()))?;
        log_truncated_tail(settings, &opened);
        let member = Member {
            name: instance.clone(),
            storage: StorageId(opened.journal.identity().storage_id),
        };
        let recovered = groups
            .iter()
            .map(|config| recover(&opened, config.settings.group))
            .collect::<Result<Vec<_>, _>>()?;
        let writer = JournalWriter::spawn(opened.journal);
        let configs = groups.into_iter().zip(recovered);
        let handles = configs.map(|(config, recovered)| spawn(config, &member, recovered, &writer));
        Ok(handles.collect())
    }
}

fn log_truncated_tail(settings: &Settings, opened: &OpenedJournal) {
    if let Some(tail) = &opened.truncated_tail {
        slog::warn!(settings.log, "incomplete write at the end of the journal truncated";
            "file" => &tail.file, "offset_bytes" => tail.offset_bytes,
            "length_bytes" => tail.length_bytes);
    }
}

fn recover(opened: &OpenedJournal, group: GroupId) -> Result<RecoveredState, Error> {
    let group = opened.groups.iter().find(|known| known.group == group.0);
    codec::recover(group)
}

fn spawn(
    config: GroupConfig,
    member: &Member,
    recovered: RecoveredState,
    writer: &JournalWriter,
) -> GroupHandle {
    let GroupConfig {
        settings,
        state_machine,
        transport,
    } = config;
    let group = settings.group;
    let tick_interval = Duration::from_millis(settings.tick_interval_ms);
    let (address, mailbox) = Mailbox::unbounded();
    let (sender, receiver) = EventSender::new(address.downgrade());
    let channels = HostChannels {
        events: sender.clone(),
        journal_jobs: writer.jobs.clone(),
        transport,
    };
    let (host, applied_index, leader_status) = ReplicaHost::new(
        settings,
        member,
        recovered,
        state_machine,
        receiver,
        channels,
    );
    tokio::spawn(xtra::run(mailbox, host));
    tokio::spawn(tick(sender.clone(), tick_interval));
    GroupHandle {
        applied_index,
        events: sender,
        group,
        host: address,
        journal_closed: writer.closed.clone(),
        leader_status,
        member: member.clone(),
    }
}

/// Sends ticks to the host until it has stopped.
async fn tick(host: EventSender, interval: Duration) {
    let mut ticks = time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if host.send(Event::Tick).await.is_err() {
            return;
        }
    }
}
