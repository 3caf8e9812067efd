//! Chooses the endpoints whose loads an instance follows.
//!
//! Pattern: many instances before many endpoints. The sums of all endpoints, sent to all instances
//! several times a second, would grow with the product of both. Of a large service each instance
//! follows a part of its own, and sends new requests there only; the registry that reserves room
//! knows the load of all.

/// Endpoints of a service that an instance follows at most. The best few of so many random ones are
/// nearly as good as the best of all, and their sums take some KB a second.
const FOLLOWED_MAX: usize = 64;

/// Greatest key of the endpoints of one service that are followed; none where all are.
///
/// An endpoint's key is [`subset_key`]. Endpoints that come or go change the part by as many.
#[must_use]
pub fn subset_key_max(ranks: &[u64], seed: u64) -> Option<u64> {
    if ranks.len() <= FOLLOWED_MAX {
        return None;
    }
    let mut keys: Vec<u64> = ranks.iter().map(|&rank| subset_key(rank, seed)).collect();
    let (_, last, _) = keys.select_nth_unstable(FOLLOWED_MAX - 1);
    Some(*last)
}

/// Order of an endpoint among those that an instance may follow.
#[must_use]
pub fn subset_key(rank: u64, seed: u64) -> u64 {
    rank ^ seed
}
