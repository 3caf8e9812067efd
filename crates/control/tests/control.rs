//! Groups of one or three instances in one process, with real data folders.

mod group;

use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use agreement::GroupId;
use control::{Error, GroupConfig, GroupHandle, MembershipChangeRequest, Settings};
use group::{CommandLog, Group, instance_name};
use journal::{FolderStorage, Storage};
use tokio::time;

fn numbered_commands(count: usize) -> Vec<Vec<u8>> {
    (0..count)
        .map(|number| number.to_string().into_bytes())
        .collect()
}

async fn wait_until_applied(group: &Group, instance_id: usize, expected: &[Vec<u8>]) {
    group
        .wait_until(async |group| group.commands(instance_id) == expected)
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_committed_command_is_applied_on_every_instance() {
    let group = Group::open(3);
    group.wait_until_all_voters_joined().await;
    let leader = group.leader().unwrap();
    let response = group.handle(leader).propose(b"0".to_vec()).await.unwrap();
    assert_eq!(response.bytes, b"1");
    for instance_id in 0..3 {
        wait_until_applied(&group, instance_id, &numbered_commands(1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_proposals_each_receive_the_response_to_their_own_command() {
    let group = Group::open(3);
    group.wait_until_all_voters_joined().await;
    let leader = group.leader().unwrap();
    let handle = group.instances[leader].as_ref().unwrap().handle.clone();
    let proposals: Vec<_> = numbered_commands(200)
        .into_iter()
        .map(|command| {
            let handle = handle.clone();
            tokio::spawn(async move { (handle.propose(command.clone()).await, command) })
        })
        .collect();
    for proposal in proposals {
        let (response, command) = proposal.await.unwrap();
        let response = String::from_utf8(response.unwrap().bytes).unwrap();
        let position: usize = response.parse().unwrap();
        assert_eq!(group.commands(leader)[position - 1], command);
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_rejects_a_proposal_and_names_the_leader() {
    let group = Group::open(3);
    group.wait_until_all_voters_joined().await;
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    group
        .wait_until(async |group| {
            group
                .handle(follower)
                .leader_status()
                .borrow()
                .leader
                .is_some()
        })
        .await;
    let error = group
        .handle(follower)
        .propose(Vec::new())
        .await
        .unwrap_err();
    assert!(
        matches!(&error, Error::NotLeader { leader: Some(known) } if *known == instance_name(leader))
    );
    assert!(error.is_not_run());
}

#[tokio::test(start_paused = true)]
async fn committed_commands_survive_a_restart_of_every_instance() {
    let mut group = Group::open(3);
    for number in 0..120 {
        group.propose(&number.to_string()).await;
    }
    for instance_id in 0..3 {
        group.kill(instance_id).await;
    }
    for instance_id in 0..3 {
        group.start(instance_id);
    }
    group.propose("120").await;
    for instance_id in 0..3 {
        wait_until_applied(&group, instance_id, &numbered_commands(121)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_commits_after_the_loss_of_its_leader() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let lost = group.leader().unwrap();
    group.kill(lost).await;
    group.propose("1").await;
    group.start(lost);
    wait_until_applied(&group, lost, &numbered_commands(2)).await;
}

#[tokio::test(start_paused = true)]
async fn an_isolated_leader_steps_down_and_reports_an_unknown_outcome() {
    let group = Group::open(3);
    group.propose("0").await;
    let isolated = group.leader().unwrap();
    group.isolate(isolated);
    let outcome = group.handle(isolated).propose(b"lost".to_vec()).await;
    assert!(matches!(outcome, Err(Error::Unknown)));
    let confirmed = group.handle(isolated).read_index().await;
    assert!(matches!(confirmed, Err(Error::NotLeader { .. })));
    group.propose("1").await;
    group.reconnect_all();
    wait_until_applied(&group, isolated, &numbered_commands(2)).await;
}

#[tokio::test(start_paused = true)]
async fn wiping_each_voter_once_the_previous_one_has_rejoined_loses_nothing() {
    let mut group = Group::open(3);
    for number in 0..60 {
        group.propose(&number.to_string()).await;
    }
    for lost in [0, 1, 2] {
        group.wipe(lost).await;
        group.start(lost);
        group.wait_until_all_voters_joined().await;
    }
    group.propose("60").await;
    for instance_id in 0..3 {
        wait_until_applied(&group, instance_id, &numbered_commands(61)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_far_behind_installs_a_snapshot() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let lagging = (group.leader().unwrap() + 1) % 3;
    group.kill(lagging).await;
    for number in 1..300 {
        group.propose(&number.to_string()).await;
    }
    group.restart_all_except(lagging).await;
    group.propose("300").await;
    group.start(lagging);
    wait_until_applied(&group, lagging, &numbered_commands(301)).await;
}

#[tokio::test(start_paused = true)]
async fn leadership_is_transferred() {
    let group = Group::open(3);
    group.wait_until_all_voters_joined().await;
    let from = group.leader().unwrap();
    let to = (from + 1) % 3;
    group
        .handle(from)
        .transfer_leadership(instance_name(to))
        .await
        .unwrap();
    group
        .wait_until(async |group| group.leader() == Some(to))
        .await;
    assert!(group.handle(to).read_index().await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_new_instance_is_added_and_another_one_removed() {
    let mut group = Group::open(3);
    group.wait_until_all_voters_joined().await;
    group.instances.push(None);
    group.start(3);
    let leader = group.leader().unwrap();
    group
        .wait_until(async |group| {
            let status = group.handle(leader).status().await.unwrap();
            !status.replica.non_members.is_empty()
        })
        .await;
    let promote = true;
    let join = MembershipChangeRequest::Join {
        name: instance_name(3),
        promote,
    };
    group.handle(leader).change_membership(join).await.unwrap();
    let voters = async |group: &Group| {
        let status = group.handle(leader).status().await.unwrap().replica;
        (
            status.membership.voters().len(),
            status.membership_committed,
        )
    };
    group
        .wait_until(async |group| voters(group).await == (4, true))
        .await;
    let remove = MembershipChangeRequest::Remove(instance_name((leader + 1) % 3));
    group
        .handle(leader)
        .change_membership(remove)
        .await
        .unwrap();
    assert_eq!(voters(&group).await.0, 3);
}

#[tokio::test(start_paused = true)]
async fn a_folder_in_use_or_of_another_instance_is_rejected() {
    let mut group = Group::open(3);
    let open = |group: &Group, settings| {
        let state_machine = Box::new(CommandLog::default());
        GroupHandle::open(settings, state_machine, Arc::new(group.network.clone()))
    };
    let error = open(&group, group.settings(0)).unwrap_err();
    assert!(
        matches!(error, Error::Journal(journal::Error::Locked { .. })),
        "{error}"
    );
    group.kill(0).await;
    let mut swapped = group.settings(1);
    swapped.folder = group.folder(0);
    let error = open(&group, swapped).unwrap_err();
    assert!(
        matches!(error, Error::Journal(journal::Error::WrongInstance { .. })),
        "{error}"
    );
}

async fn has_snapshot(group: &Group) -> bool {
    let mut files = std::fs::read_dir(group.folder(0)).unwrap();
    files.any(|file| file.unwrap().path().extension() == Some("snap".as_ref()))
}

/// Guards against few large commands that fill a small disk before a snapshot replaces them.
#[tokio::test(start_paused = true)]
async fn large_commands_are_replaced_by_a_snapshot_soon() {
    let group = Group::open(1);
    let large = "0".repeat(100_000);
    for _ in 0..3 {
        group.propose(&large).await;
    }
    assert!(!has_snapshot(&group).await);
    group.propose(&large).await;
    group.wait_until(has_snapshot).await;
}

#[tokio::test(start_paused = true)]
async fn a_group_with_few_commands_takes_a_snapshot_after_some_time() {
    let group = Group::open(1);
    group.propose("0").await;
    assert!(!has_snapshot(&group).await);
    time::sleep(Duration::from_mins(10)).await;
    group.wait_until(has_snapshot).await;
}

#[tokio::test(start_paused = true)]
async fn a_command_that_is_too_large_is_rejected_without_effect_on_others() {
    let group = Group::open(1);
    group.propose("0").await;
    let bytes_max = group.settings(0).command_bytes_max;
    let proposed = group.handle(0).propose(vec![0; bytes_max + 1]).await;
    assert!(matches!(proposed, Err(Error::TooLarge { .. })));
    group.handle(0).propose(vec![0; bytes_max]).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn groups_that_share_a_journal_apply_only_their_own_commands() {
    let group = Group::open(1);
    let folder = group.folder(1);
    let open = async |state_machines: [&CommandLog; 2]| {
        let config = |number: u32, state_machine: &CommandLog| GroupConfig {
            state_machine: Box::new(state_machine.clone()),
            settings: Settings {
                group: GroupId(number),
                initial_voters: vec![instance_name(1)],
                ..group.settings(1)
            },
            transport: Arc::new(group.network.clone()),
        };
        let storage = Box::new(FolderStorage::open(&folder).unwrap());
        let groups = vec![config(1, state_machines[0]), config(2, state_machines[1])];
        let handles = GroupHandle::open_groups(storage, groups).unwrap();
        for handle in &handles {
            let mut leader_status = handle.leader_status();
            leader_status
                .wait_for(|status| status.is_leader)
                .await
                .unwrap();
        }
        handles
    };
    let handles = open([&CommandLog::default(), &CommandLog::default()]).await;
    for (handle, command) in handles.iter().zip([b"first", b"other"]) {
        handle.propose(command.to_vec()).await.unwrap();
    }
    GroupHandle::close_all(handles).await;
    let state_machines = [CommandLog::default(), CommandLog::default()];
    let handles = open([&state_machines[0], &state_machines[1]]).await;
    for handle in &handles {
        handle.propose(b"last".to_vec()).await.unwrap();
    }
    assert_eq!(
        state_machines[0].all(),
        [b"first".to_vec(), b"last".to_vec()]
    );
    assert_eq!(
        state_machines[1].all(),
        [b"other".to_vec(), b"last".to_vec()]
    );
    GroupHandle::close_all(handles).await;
}

#[tokio::test(start_paused = true)]
async fn an_instance_whose_disk_fails_at_any_step_of_catching_up_recovers() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let lagging = (group.leader().unwrap() + 1) % 3;
    group.kill(lagging).await;
    for number in 1..300 {
        group.propose(&number.to_string()).await;
    }
    group.restart_all_except(lagging).await;
    group.start(lagging);
    for operations_left in 0..25 {
        restart_on_faulty_storage(&mut group, lagging, operations_left).await;
        group
            .wait_until(async |group| {
                let status = group.handle(lagging).status().await;
                status.is_err() || group.commands(lagging).len() >= 300
            })
            .await;
        group.propose(&(300 + operations_left).to_string()).await;
    }
    group.kill(lagging).await;
    group.start(lagging);
    wait_until_applied(&group, lagging, &numbered_commands(325)).await;
}

/// Blocks syncs while it is closed.
#[derive(Debug, Default)]
struct SyncGate {
    is_closed: Mutex<bool>,
    opened: Condvar,
}

impl SyncGate {
    fn close(&self) {
        *self.is_closed.lock().unwrap() = true;
    }

    fn open(&self) {
        *self.is_closed.lock().unwrap() = false;
        self.opened.notify_all();
    }

    fn wait_until_open(&self) {
        let closed = self.is_closed.lock().unwrap();
        drop(self.opened.wait_while(closed, |closed| *closed).unwrap());
    }
}

/// Folder storage that fails after a number of operations, or stalls in a sync.
#[derive(Debug)]
struct FaultyStorage {
    folder: FolderStorage,
    gate: Arc<SyncGate>,
    operations_left: usize,
}

impl FaultyStorage {
    fn count_operation(&mut self) -> io::Result<()> {
        let operations_left = self.operations_left.checked_sub(1);
        self.operations_left = operations_left.ok_or(io::ErrorKind::StorageFull)?;
        Ok(())
    }
}

impl Storage for FaultyStorage {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        self.folder.append(file, bytes)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.folder.list()
    }

    fn random_id(&mut self) -> io::Result<u128> {
        self.folder.random_id()
    }

    fn read(&self, file: &str) -> io::Result<Vec<u8>> {
        self.folder.read(file)
    }

    fn remove(&mut self, file: &str) -> io::Result<()> {
        self.count_operation()?;
        self.folder.remove(file)
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_operation()?;
        self.folder.replace(file, bytes)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.count_operation()?;
        self.gate.wait_until_open();
        self.folder.sync(file)
    }

    fn truncate(&mut self, file: &str, length_bytes: u64) -> io::Result<()> {
        self.folder.truncate(file, length_bytes)
    }
}

/// Restarts an instance on a storage that fails after `operations_left` operations.
async fn restart_on_faulty_storage(
    group: &mut Group,
    instance_id: usize,
    operations_left: usize,
) -> Arc<SyncGate> {
    group.kill(instance_id).await;
    let commands = CommandLog::default();
    let gate = Arc::new(SyncGate::default());
    let storage = FaultyStorage {
        folder: FolderStorage::open(&group.folder(instance_id)).unwrap(),
        gate: gate.clone(),
        operations_left,
    };
    let handle = GroupHandle::open_with_storage(
        Box::new(storage),
        group.settings(instance_id),
        Box::new(commands.clone()),
        Arc::new(group.network.clone()),
    );
    group.add_running_instance(instance_id, commands, handle.unwrap());
    gate
}

#[tokio::test(start_paused = true)]
async fn a_leader_whose_disk_stalls_steps_down_and_fails_every_proposal() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let gate = restart_on_faulty_storage(&mut group, 0, usize::MAX).await;
    group
        .wait_until(async |group| match group.leader() {
            Some(0) => true,
            Some(leader) => {
                drop(
                    group
                        .handle(leader)
                        .transfer_leadership(instance_name(0))
                        .await,
                );
                false
            }
            None => false,
        })
        .await;
    group.handle(0).propose(b"1".to_vec()).await.unwrap();
    gate.close();
    let handle = group.instances[0].as_ref().unwrap().handle.clone();
    let propose = |command: &[u8]| {
        let (handle, command) = (handle.clone(), command.to_vec());
        tokio::spawn(async move { handle.propose(command).await })
    };
    let appended = propose(b"2");
    while handle.status().await.unwrap().replica.last_index <= *handle.applied_index().borrow() {}
    let queued = propose(b"3");
    for _ in 0..2_000 {
        time::advance(Duration::from_millis(10)).await;
    }
    gate.open();
    assert!(appended.is_finished() && queued.is_finished());
    assert!(matches!(appended.await.unwrap(), Err(Error::Unknown)));
    assert!(queued.await.unwrap().unwrap_err().is_not_run());
}

#[tokio::test(start_paused = true)]
async fn a_replica_with_a_full_disk_stops_and_reports_the_cause() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let full = group.leader().unwrap();
    restart_on_faulty_storage(&mut group, full, 6).await;
    for number in 1..10 {
        group.propose(&number.to_string()).await;
    }
    group
        .wait_until(async |group| group.handle(full).status().await.is_err())
        .await;
    let error = group.handle(full).propose(Vec::new()).await.unwrap_err();
    assert!(
        error.to_string().contains("cannot append to `journal-"),
        "{error}"
    );
    group.propose("10").await;
    let mut commands = group.commands(group.leader().unwrap());
    commands.dedup(); // A command whose outcome was unknown is proposed again.
    assert_eq!(commands, numbered_commands(11));
}
