//! Rendezvous hashing with a hash function that is the same on every machine.

use names::InstanceName;

use crate::Member;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
const MIX_FIRST: u64 = 0xff51_afd7_ed55_8ccd;
const MIX_SECOND: u64 = 0xc4ce_b9fe_1a85_ec53;

/// Names of the members in order of preference for `key`, best first.
#[must_use]
pub fn rendezvous_order<'a>(
    key: &str,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<&'a InstanceName> {
    let mut scored: Vec<(u64, &InstanceName)> = members
        .map(|member| (score(key, member.name.as_str().as_bytes()), &member.name))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name).collect()
}

pub(crate) fn score(key: &str, candidate: &[u8]) -> u64 {
    let hash = key
        .as_bytes()
        .iter()
        .chain(&[0xff])
        .chain(candidate)
        .fold(FNV_OFFSET, |hash, &byte| {
            (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
        });
    mix(hash)
}

fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MIX_FIRST);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(MIX_SECOND);
    hash ^ (hash >> 33)
}
