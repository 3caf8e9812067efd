//! Prints the size of `acquire` and `progress` calls on the wire, frame lengths included.
//!
//! Run with `cargo run --release -p protocol --example message_bytes`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;

use names::{CustomerName, Epoch, InstanceName, KindName, ModelName, PermitId, RegionName};
use protocol::{
    AcquireRequest, EndedPermit, FleetKey, InnerClient, PermitKey, PermitProgress, ProgressReport,
    Traffic, connect,
};
use session::{OfferName, Shard};
use support::{KEY, serve};
use tarpc::context;

const CALLS: u64 = 200;

#[tokio::main]
async fn main() {
    let address = serve().await;
    let traffic = Arc::new(Traffic::default());
    let client = connect(address, &FleetKey::new(KEY), &traffic)
        .await
        .expect("the listener is in this process");
    for blocks in [0, 16, 64] {
        let before = total_bytes(&traffic);
        for _ in 0..CALLS {
            let answer = client
                .acquire(context::current(), acquire_request(blocks))
                .await;
            answer.expect("the listener answers");
        }
        let bytes = (total_bytes(&traffic) - before) / CALLS;
        println!("acquire prefix_blocks={blocks} bytes_both_ways={bytes}");
    }
    for permits in [0, 100, 400] {
        let bytes = progress_bytes(&client, &traffic, permits, 0).await;
        println!("progress running={permits} ended=0 bytes_both_ways={bytes}");
    }
    let bytes = progress_bytes(&client, &traffic, 0, 1).await;
    println!("progress running=0 ended=1 bytes_both_ways={bytes}");
}

async fn progress_bytes(client: &InnerClient, traffic: &Traffic, running: u64, ended: u64) -> u64 {
    let before = total_bytes(traffic);
    for _ in 0..CALLS {
        let sent = client.progress(context::current(), progress_report(running, ended));
        sent.await.expect("the listener answers");
    }
    (total_bytes(traffic) - before) / CALLS
}

fn acquire_request(blocks: u64) -> AcquireRequest {
    AcquireRequest {
        customer: CustomerName::new("customer-of-usual-length").expect("a name"),
        epoch: Epoch(1_000_000),
        instance: instance(),
        kind: KindName::new("syllabus").expect("a name"),
        max_tokens: 2_000,
        prefix_hashes: (0..blocks).map(|block| u64::MAX - block).collect(),
        prompt_tokens: 1_000,
        region: region(),
        shard: shard(),
        urgent: false,
        wait_ms: 20_000,
    }
}

fn instance() -> InstanceName {
    InstanceName::new("plovdiv-117").expect("a name")
}

fn permit_key(number: u64) -> PermitKey {
    PermitKey {
        epoch: Epoch(1_000_000),
        permit: PermitId(1_000_000 + number),
    }
}

fn region() -> RegionName {
    RegionName::new("plovdiv").expect("a name")
}

fn progress_report(running: u64, ended: u64) -> ProgressReport {
    let progress = |number| PermitProgress {
        generated_tokens: 1_000,
        permit: permit_key(number),
    };
    let end = |number| EndedPermit {
        end: dispatch::PermitEnd::Completed,
        generated_tokens: 1_000,
        permit: permit_key(number),
    };
    ProgressReport {
        requested: Vec::new(),
        ended: (0..ended).map(end).collect(),
        epoch: Epoch(1_000_000),
        instance: instance(),
        running: Some((0..running).map(progress).collect()),
        shard: shard(),
    }
}

fn shard() -> Shard {
    Shard {
        number: 17,
        offer: OfferName::Model(ModelName::new("syllabus-model").expect("a name")),
        region: region(),
    }
}

fn total_bytes(traffic: &Traffic) -> u64 {
    traffic.received_bytes() + traffic.sent_bytes()
}
