//! Registries found their group from three seeds, take in others, and get a lost disk back, without
//! an operator; none ever reads a document that is older than one accepted before.

mod support;

use std::collections::BTreeSet;

use registry::{Document, Registry};
use support::{Ground, newest, until};

fn document(version: u64) -> Document {
    Document {
        bytes: format!("document {version}").into_bytes(),
        version,
    }
}

async fn accept(registry: &Registry, version: u64) {
    until(async || registry.replicate_document(document(version)).await.ok()).await;
}

#[tokio::test]
async fn three_seeds_found_and_any_of_them_accepts() {
    let ground = Ground::reserve().await;
    let third = ground.found(3).await;
    let first = ground.found(1).await;
    let second = ground.found(2).await;
    accept(&second, 1).await;
    accept(&third, 5).await;
    accept(&first, 3).await;
    for registry in [&first, &second, &third] {
        assert_eq!(newest(registry).await, document(5));
    }
}

// On several threads, a reader may run between any two steps of the registry.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_registry_that_joins_reads_nothing_old() {
    let ground = Ground::reserve().await;
    let (first, _second, _third) = ground.found_three().await;
    for version in 1..=40 {
        accept(&first, version).await;
    }
    let fourth = ground.join(4).await;
    // From its first answer on, it has to know the newest document.
    assert_eq!(newest(&fourth).await, document(40));
    let voters = until(async || {
        let voters = fourth.voters().await;
        (voters.len() == 4).then_some(voters)
    })
    .await;
    assert_eq!(
        voters,
        BTreeSet::from([1, 2, 3, 4].map(|number| ground.name(number)))
    );
}

#[tokio::test]
async fn a_wiped_disk_joins_again_and_holds_everything() {
    let ground = Ground::reserve().await;
    let (first, second, third) = ground.found_three().await;
    accept(&first, 7).await;
    ground.stop(third).await;
    ground.wipe(3);
    let third = ground.join(3).await;
    assert_eq!(newest(&third).await, document(7));
    until(async || (third.voters().await.len() == 3).then_some(())).await;
    ground.stop(second).await;
    accept(&third, 9).await;
    assert_eq!(newest(&first).await, document(9));
}

#[tokio::test]
async fn all_disks_together_survive_a_restart() {
    let ground = Ground::reserve().await;
    let (first, second, third) = ground.found_three().await;
    accept(&second, 11).await;
    for registry in [first, second, third] {
        ground.stop(registry).await;
    }
    let (first, _second, _third) = (
        ground.join(1).await,
        ground.join(2).await,
        ground.join(3).await,
    );
    assert_eq!(newest(&first).await, document(11));
}

#[tokio::test]
async fn without_a_quorum_nothing_is_read() {
    let ground = Ground::reserve().await;
    let (first, second, third) = ground.found_three().await;
    accept(&first, 2).await;
    ground.stop(second).await;
    ground.stop(third).await;
    until(async || first.read_newest_document().await.is_err().then_some(())).await;
    assert!(first.replicate_document(document(3)).await.is_err());
}
