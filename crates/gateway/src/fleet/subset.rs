//! Chooses the endpoints whose aggregated loads an instance subscribes to.
//!
//! If every instance received the loads of all endpoints several times a second, the traffic would
//! grow with instances times endpoints. Each instance therefore subscribes to its own random subset
//! of a large service and sends new requests only there. The registry that makes reservations knows
//! the load of all endpoints.

/// Largest subset of one service. The best few of so many random endpoints are nearly as good as
/// the best of all, and their loads take a few KB per second.
const SUBSET_ENDPOINTS_MAX: usize = 64;

/// Greatest [`subset_key`] of the endpoints in the subset; `None` if it holds all endpoints.
///
/// `ranks` are those of one service. When some endpoints are added or removed, at most as many
/// members of the subset change.
#[must_use]
pub fn subset_key_max(ranks: &[u64], seed: u64) -> Option<u64> {
    if ranks.len() <= SUBSET_ENDPOINTS_MAX {
        return None;
    }
    let mut keys: Vec<u64> = ranks.iter().map(|&rank| subset_key(rank, seed)).collect();
    let (_, key_max, _) = keys.select_nth_unstable(SUBSET_ENDPOINTS_MAX - 1);
    Some(*key_max)
}

/// Sort key of an endpoint for the subset of the instance with this seed; the lowest keys are in.
#[must_use]
pub fn subset_key(rank: u64, seed: u64) -> u64 {
    rank ^ seed
}
