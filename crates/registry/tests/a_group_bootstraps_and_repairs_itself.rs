//! Registries bootstrap their group from three seeds, add further members and recover from a wiped
//! disk without an operator. A read never returns a document older than one accepted before.

mod support;

use std::collections::BTreeSet;

use registry::{Document, Registry};
use support::{TestGroup, poll_until, read_newest};

fn document(version: u64) -> Document {
    Document {
        bytes: format!("document {version}").into_bytes(),
        version,
    }
}

async fn replicate(registry: &Registry, version: u64) {
    poll_until(async || registry.replicate_document(document(version)).await.ok()).await;
}

#[tokio::test]
async fn three_seeds_bootstrap_a_group_and_each_accepts_documents() {
    let group = TestGroup::new().await;
    let third = group.bootstrap(3).await;
    let first = group.bootstrap(1).await;
    let second = group.bootstrap(2).await;
    replicate(&second, 1).await;
    replicate(&third, 5).await;
    replicate(&first, 3).await;
    for registry in [&first, &second, &third] {
        assert_eq!(read_newest(registry).await, document(5));
    }
}

// With several threads, a read may happen between any two steps of the registry.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_joining_registry_never_reads_an_old_document() {
    let group = TestGroup::new().await;
    let (first, _second, _third) = group.bootstrap_three().await;
    for version in 1..=40 {
        replicate(&first, version).await;
    }
    let fourth = group.join(4).await;
    // Already the first successful read has to return the newest document.
    assert_eq!(read_newest(&fourth).await, document(40));
    let voters = poll_until(async || {
        let voters = fourth.voters().await;
        (voters.len() == 4).then_some(voters)
    })
    .await;
    assert_eq!(
        voters,
        BTreeSet::from([1, 2, 3, 4].map(|number| group.name(number)))
    );
}

#[tokio::test]
async fn a_registry_with_a_wiped_disk_rejoins_and_recovers_the_document() {
    let group = TestGroup::new().await;
    let (first, second, third) = group.bootstrap_three().await;
    replicate(&first, 7).await;
    group.stop(third).await;
    group.wipe_disk(3);
    let third = group.join(3).await;
    assert_eq!(read_newest(&third).await, document(7));
    poll_until(async || (third.voters().await.len() == 3).then_some(())).await;
    group.stop(second).await;
    replicate(&third, 9).await;
    assert_eq!(read_newest(&first).await, document(9));
}

#[tokio::test]
async fn the_document_survives_a_restart_of_all_registries() {
    let group = TestGroup::new().await;
    let (first, second, third) = group.bootstrap_three().await;
    replicate(&second, 11).await;
    for registry in [first, second, third] {
        group.stop(registry).await;
    }
    let (first, _second, _third) = (
        group.join(1).await,
        group.join(2).await,
        group.join(3).await,
    );
    assert_eq!(read_newest(&first).await, document(11));
}

#[tokio::test]
async fn without_a_quorum_no_document_is_read_or_accepted() {
    let group = TestGroup::new().await;
    let (first, second, third) = group.bootstrap_three().await;
    replicate(&first, 2).await;
    group.stop(second).await;
    group.stop(third).await;
    poll_until(async || first.read_newest_document().await.is_err().then_some(())).await;
    assert!(first.replicate_document(document(3)).await.is_err());
}
