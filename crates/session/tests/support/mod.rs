//! Builders shared by the tests.

#![allow(dead_code, reason = "each test file uses some of the builders")]

pub mod fleet;

use names::{
    DataCentreName, EndpointName, Incarnation, InstanceName, LogIndex, ModelName, RegionName,
};
use session::{
    Announcement, EndpointState, EngineOffer, EngineRole, Heartbeat, Member, MemberState, Offer,
    OfferName, Role, Shard,
};

pub fn instance(number: usize) -> InstanceName {
    InstanceName::new(&format!("i{number}")).expect("a valid name")
}

/// First process of an instance with the dispatch and entry roles.
pub fn member(number: usize) -> Member {
    Member {
        data_centre: DataCentreName::new("sofia").expect("a valid name"),
        incarnation: Incarnation(1),
        inner_address: "127.0.0.1:1".parse().expect("an address"),
        name: instance(number),
        region: RegionName::new("bulgaria").expect("a valid name"),
        roles: vec![Role::Dispatch, Role::Entry],
        start_nonce: 1,
        state: MemberState::Serving,
    }
}

/// Another process of the same instance.
pub fn restarted_member(member: &Member, incarnation: u64, start_nonce: u64) -> Member {
    Member {
        incarnation: Incarnation(incarnation),
        start_nonce,
        ..member.clone()
    }
}

pub fn heartbeat(member: &Member, age_ms: u64, applied_revision: u64) -> Heartbeat {
    Heartbeat {
        age_ms,
        applied_revision: LogIndex(applied_revision),
        member: member.clone(),
    }
}

pub fn shard(number: u16) -> Shard {
    Shard {
        number,
        offer: OfferName::Model(ModelName::new("advice").expect("a valid name")),
        region: RegionName::new("bulgaria").expect("a valid name"),
    }
}

pub fn endpoint(number: usize) -> EndpointName {
    EndpointName::new(&format!("e{number}")).expect("a valid name")
}

pub fn announcement(incarnation: u64, sequence: u64, state: EndpointState) -> Announcement {
    Announcement {
        address: "127.0.0.1:2".parse().expect("an address"),
        cache: None,
        data_centre: DataCentreName::new("sofia").expect("a valid name"),
        incarnation: Incarnation(incarnation),
        offer: Offer::Engine(EngineOffer {
            adapters: Vec::new(),
            block_tokens: 16,
            checks_fencing: true,
            memory_tokens: 1_000,
            model: ModelName::new("advice").expect("a valid name"),
            role: EngineRole::Both,
            sequences_max: 8,
            version: "1".to_owned(),
        }),
        reclaim_in_ms: None,
        region: RegionName::new("bulgaria").expect("a valid name"),
        report: None,
        sequence,
        state,
    }
}
