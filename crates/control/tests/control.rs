//! Three instances in one process, with real data folders.

mod group;

use std::io;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use agreement::GroupId;
use control::{Error, GroupHandle, GroupParts, MembershipChangeRequest, Settings};
use group::{Commands, Group, name};
use journal::{FolderStorage, Storage};
use tokio::time;

fn numbered(count: usize) -> Vec<Vec<u8>> {
    (0..count).map(|at| at.to_string().into_bytes()).collect()
}

async fn until_applied(group: &Group, at: usize, expected: &[Vec<u8>]) {
    group
        .until(async |group| group.commands(at) == expected)
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_committed_command_is_applied_on_every_instance() {
    let group = Group::open(3);
    group.until_whole().await;
    let leader = group.leader().unwrap();
    let answer = group.control(leader).propose(b"0".to_vec()).await.unwrap();
    assert_eq!(answer.bytes, b"1");
    for at in 0..3 {
        until_applied(&group, at, &numbered(1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn commands_proposed_together_are_answered_each_with_its_own() {
    let group = Group::open(3);
    group.until_whole().await;
    let leader = group.leader().unwrap();
    let control = group.instances[leader].as_ref().unwrap().control.clone();
    let proposals: Vec<_> = numbered(200)
        .into_iter()
        .map(|command| {
            let control = control.clone();
            tokio::spawn(async move { (control.propose(command.clone()).await, command) })
        })
        .collect();
    for proposal in proposals {
        let (answer, command) = proposal.await.unwrap();
        let answer = String::from_utf8(answer.unwrap().bytes).unwrap();
        let place: usize = answer.parse().unwrap();
        assert_eq!(group.commands(leader)[place - 1], command);
    }
}

#[tokio::test(start_paused = true)]
async fn a_follower_names_the_leader() {
    let group = Group::open(3);
    group.until_whole().await;
    let leader = group.leader().unwrap();
    let follower = (leader + 1) % 3;
    group
        .until(async |group| {
            group
                .control(follower)
                .leader_status()
                .borrow()
                .leader
                .is_some()
        })
        .await;
    let error = group
        .control(follower)
        .propose(Vec::new())
        .await
        .unwrap_err();
    assert!(matches!(&error, Error::NotLeader { leader: Some(known) } if *known == name(leader)));
    assert!(error.is_not_run());
}

#[tokio::test(start_paused = true)]
async fn committed_commands_survive_the_loss_of_every_process() {
    let mut group = Group::open(3);
    for at in 0..120 {
        group.propose(&at.to_string()).await;
    }
    for at in 0..3 {
        group.kill(at).await;
    }
    for at in 0..3 {
        group.start(at);
    }
    group.propose("120").await;
    for at in 0..3 {
        until_applied(&group, at, &numbered(121)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_group_goes_on_without_its_leader() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let lost = group.leader().unwrap();
    group.kill(lost).await;
    group.propose("1").await;
    group.start(lost);
    until_applied(&group, lost, &numbered(2)).await;
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_is_cut_off_steps_down_and_tells_that_the_outcome_is_unknown() {
    let group = Group::open(3);
    group.propose("0").await;
    let cut_off = group.leader().unwrap();
    group.cut_off(cut_off);
    let outcome = group.control(cut_off).propose(b"lost".to_vec()).await;
    assert!(matches!(outcome, Err(Error::Unknown)));
    let confirmed = group.control(cut_off).read_index().await;
    assert!(matches!(confirmed, Err(Error::NotLeader { .. })));
    group.propose("1").await;
    group.heal();
    until_applied(&group, cut_off, &numbered(2)).await;
}

#[tokio::test(start_paused = true)]
async fn a_second_loss_right_after_a_repair_loses_nothing() {
    let mut group = Group::open(3);
    for at in 0..60 {
        group.propose(&at.to_string()).await;
    }
    for lost in [0, 1, 2] {
        group.wipe(lost).await;
        group.start(lost);
        group.until_whole().await;
    }
    group.propose("60").await;
    for at in 0..3 {
        until_applied(&group, at, &numbered(61)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn an_instance_far_behind_takes_a_snapshot() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let behind = (group.leader().unwrap() + 1) % 3;
    group.kill(behind).await;
    for at in 1..300 {
        group.propose(&at.to_string()).await;
    }
    group.forget_log(behind).await;
    group.propose("300").await;
    group.start(behind);
    until_applied(&group, behind, &numbered(301)).await;
}

#[tokio::test(start_paused = true)]
async fn leadership_is_handed_over() {
    let group = Group::open(3);
    group.until_whole().await;
    let from = group.leader().unwrap();
    let to = (from + 1) % 3;
    group
        .control(from)
        .transfer_leadership(name(to))
        .await
        .unwrap();
    group.until(async |group| group.leader() == Some(to)).await;
    assert!(group.control(to).read_index().await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_new_instance_joins_and_an_old_one_leaves() {
    let mut group = Group::open(3);
    group.until_whole().await;
    group.instances.push(None);
    group.start(3);
    let leader = group.leader().unwrap();
    group
        .until(async |group| {
            let status = group.control(leader).status().await.unwrap();
            !status.replica.non_members.is_empty()
        })
        .await;
    let promote = true;
    let join = MembershipChangeRequest::Join {
        name: name(3),
        promote,
    };
    group.control(leader).change_membership(join).await.unwrap();
    let voters = async |group: &Group| {
        let status = group.control(leader).status().await.unwrap().replica;
        (
            status.membership.voters().len(),
            status.membership_committed,
        )
    };
    group
        .until(async |group| voters(group).await == (4, true))
        .await;
    let remove = MembershipChangeRequest::Remove(name((leader + 1) % 3));
    group
        .control(leader)
        .change_membership(remove)
        .await
        .unwrap();
    assert_eq!(voters(&group).await.0, 3);
}

#[tokio::test(start_paused = true)]
async fn a_folder_in_use_or_of_another_instance_is_refused() {
    let mut group = Group::open(3);
    let open = |group: &Group, settings| {
        let machine = Box::new(Commands::default());
        GroupHandle::open(settings, machine, Arc::new(group.network.clone()))
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

#[tokio::test(start_paused = true)]
async fn a_group_with_few_commands_is_compacted_after_a_while() {
    let group = Group::open(1);
    group.propose("0").await;
    let has_snapshot = async |group: &Group| {
        let mut files = std::fs::read_dir(group.folder(0)).unwrap();
        files.any(|file| file.unwrap().path().extension() == Some("snap".as_ref()))
    };
    assert!(!has_snapshot(&group).await);
    time::sleep(Duration::from_mins(10)).await;
    group.until(has_snapshot).await;
}

#[tokio::test(start_paused = true)]
async fn a_command_that_is_too_large_is_refused_and_harms_nothing() {
    let group = Group::open(1);
    group.propose("0").await;
    let bytes_max = group.settings(0).command_bytes_max;
    let proposed = group.control(0).propose(vec![0; bytes_max + 1]).await;
    assert!(matches!(proposed, Err(Error::TooLarge { .. })));
    group.control(0).propose(vec![0; bytes_max]).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn groups_that_share_a_journal_keep_their_commands_apart() {
    let group = Group::open(1);
    let folder = group.folder(1);
    let open = async |machines: [&Commands; 2]| {
        let parts = |number: u32, machine: &Commands| GroupParts {
            machine: Box::new(machine.clone()),
            settings: Settings {
                group: GroupId(number),
                initial_voters: vec![name(1)],
                ..group.settings(1)
            },
            transport: Arc::new(group.network.clone()),
        };
        let storage = Box::new(FolderStorage::open(&folder).unwrap());
        let groups = vec![parts(1, machines[0]), parts(2, machines[1])];
        let controls = GroupHandle::open_groups(storage, groups).unwrap();
        for control in &controls {
            let mut role = control.leader_status();
            role.wait_for(|role| role.is_leader).await.unwrap();
        }
        controls
    };
    let controls = open([&Commands::default(), &Commands::default()]).await;
    for (control, command) in controls.iter().zip([b"first", b"other"]) {
        control.propose(command.to_vec()).await.unwrap();
    }
    GroupHandle::close_all(controls).await;
    let machines = [Commands::default(), Commands::default()];
    let controls = open([&machines[0], &machines[1]]).await;
    for control in &controls {
        control.propose(b"last".to_vec()).await.unwrap();
    }
    assert_eq!(machines[0].all(), [b"first".to_vec(), b"last".to_vec()]);
    assert_eq!(machines[1].all(), [b"other".to_vec(), b"last".to_vec()]);
    GroupHandle::close_all(controls).await;
}

#[tokio::test(start_paused = true)]
async fn an_instance_that_fails_at_any_step_of_catching_up_recovers() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let behind = (group.leader().unwrap() + 1) % 3;
    group.kill(behind).await;
    for at in 1..300 {
        group.propose(&at.to_string()).await;
    }
    group.forget_log(behind).await;
    group.start(behind);
    for room in 0..25 {
        start_faulty(&mut group, behind, room).await;
        group
            .until(async |group| {
                let status = group.control(behind).status().await;
                status.is_err() || group.commands(behind).len() >= 300
            })
            .await;
        group.propose(&(300 + room).to_string()).await;
    }
    group.kill(behind).await;
    group.start(behind);
    until_applied(&group, behind, &numbered(325)).await;
}

/// Lets syncs through while it is open.
#[derive(Debug, Default)]
struct Gate {
    is_closed: Mutex<bool>,
    opened: Condvar,
}

impl Gate {
    fn close(&self) {
        *self.is_closed.lock().unwrap() = true;
    }

    fn open(&self) {
        *self.is_closed.lock().unwrap() = false;
        self.opened.notify_all();
    }

    fn pass(&self) {
        let closed = self.is_closed.lock().unwrap();
        drop(self.opened.wait_while(closed, |closed| *closed).unwrap());
    }
}

/// Real folder that takes some operations and then fails, or stalls.
#[derive(Debug)]
struct FaultyStorage {
    folder: FolderStorage,
    gate: Arc<Gate>,
    room: usize,
}

impl FaultyStorage {
    fn take_room(&mut self) -> io::Result<()> {
        let room = self.room.checked_sub(1);
        self.room = room.ok_or(io::ErrorKind::StorageFull)?;
        Ok(())
    }
}

impl Storage for FaultyStorage {
    fn append(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.take_room()?;
        self.folder.append(file, bytes)
    }

    fn cut(&mut self, file: &str, length_bytes: u64) -> io::Result<()> {
        self.folder.cut(file, length_bytes)
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
        self.take_room()?;
        self.folder.remove(file)
    }

    fn replace(&mut self, file: &str, bytes: &[u8]) -> io::Result<()> {
        self.take_room()?;
        self.folder.replace(file, bytes)
    }

    fn sync(&mut self, file: &str) -> io::Result<()> {
        self.take_room()?;
        self.gate.pass();
        self.folder.sync(file)
    }
}

/// Starts an instance again, on a storage with room for a number of writes.
async fn start_faulty(group: &mut Group, at: usize, room: usize) -> Arc<Gate> {
    group.kill(at).await;
    let commands = Commands::default();
    let gate = Arc::new(Gate::default());
    let storage = FaultyStorage {
        folder: FolderStorage::open(&group.folder(at)).unwrap(),
        gate: gate.clone(),
        room,
    };
    let control = GroupHandle::open_on(
        Box::new(storage),
        group.settings(at),
        Box::new(commands.clone()),
        Arc::new(group.network.clone()),
    );
    group.adopt(at, commands, control.unwrap());
    gate
}

#[tokio::test(start_paused = true)]
async fn a_leader_whose_disk_stalls_steps_down_and_answers_every_proposal() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let gate = start_faulty(&mut group, 0, usize::MAX).await;
    group
        .until(async |group| match group.leader() {
            Some(0) => true,
            Some(leader) => {
                drop(group.control(leader).transfer_leadership(name(0)).await);
                false
            }
            None => false,
        })
        .await;
    group.control(0).propose(b"1".to_vec()).await.unwrap();
    gate.close();
    let control = group.instances[0].as_ref().unwrap().control.clone();
    let propose = |command: &[u8]| {
        let (control, command) = (control.clone(), command.to_vec());
        tokio::spawn(async move { control.propose(command).await })
    };
    let appended = propose(b"2");
    while control.status().await.unwrap().replica.last_index <= *control.applied_index().borrow() {}
    let waiting = propose(b"3");
    for _ in 0..2_000 {
        time::advance(Duration::from_millis(10)).await;
    }
    gate.open();
    assert!(appended.is_finished() && waiting.is_finished());
    assert!(matches!(appended.await.unwrap(), Err(Error::Unknown)));
    assert!(waiting.await.unwrap().unwrap_err().is_not_run());
}

#[tokio::test(start_paused = true)]
async fn an_instance_with_a_full_disk_stops_to_take_part_and_says_so() {
    let mut group = Group::open(3);
    group.propose("0").await;
    let full = group.leader().unwrap();
    start_faulty(&mut group, full, 6).await;
    for at in 1..10 {
        group.propose(&at.to_string()).await;
    }
    group
        .until(async |group| group.control(full).status().await.is_err())
        .await;
    let error = group.control(full).propose(Vec::new()).await.unwrap_err();
    assert!(
        error.to_string().contains("cannot append to `journal-"),
        "{error}"
    );
    group.propose("10").await;
    let mut commands = group.commands(group.leader().unwrap());
    commands.dedup(); // A command whose outcome was unknown is proposed again.
    assert_eq!(commands, numbered(11));
}
