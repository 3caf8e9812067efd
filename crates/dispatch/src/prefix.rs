//! Memory of which prompts were placed where.
//!
//! Hashes are kept at sampled depths only (four an octave), so that a prompt of any length costs a
//! few look-ups. A hash covers all blocks up to its own, so the deepest match says how much of a
//! prompt an endpoint has cached. The set is large and changes with every grant: a sorted vector
//! would cost O(n) an insert, so this is a `BTreeMap`.

use std::collections::{BTreeMap, VecDeque};

use names::EndpointId;

/// Blocks covered by the sampled hash at a position.
fn depth_blocks(position: usize) -> usize {
    if position < 4 {
        return position + 1;
    }
    let octave = position / 4;
    (4 + position % 4) << (octave - 1)
}

/// The hashes at sampled depths.
pub(crate) fn sample(hashes: &[u64]) -> Box<[u64]> {
    (0..)
        .map(|position| depth_blocks(position) - 1)
        .map_while(|index| hashes.get(index).copied())
        .collect()
}

/// Which endpoints hold which prefixes, as far as known.
#[derive(Debug, Default)]
pub(crate) struct PlacementMemory {
    /// For each hash and endpoint, the endpoint's clock when last placed.
    holders: BTreeMap<(u64, EndpointId), u64>,
}

/// Forgetting of one endpoint's prefixes, least recently placed first.
#[derive(Debug, Default)]
pub(crate) struct Retention {
    /// Tokens that entered the endpoint since it was first seen.
    pub(crate) clock_tokens: u64,
    placed: VecDeque<Placed>,
}

#[derive(Debug)]
struct Placed {
    clock_tokens: u64,
    hash: u64,
}

/// An endpoint and the blocks of a prompt that it has cached.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Match {
    pub(crate) blocks: usize,
    pub(crate) endpoint: EndpointId,
}

impl PlacementMemory {
    /// Endpoints that hold part of a prompt, deepest first; an endpoint may come again.
    pub(crate) fn matches(&self, prefix: &[u64]) -> Vec<Match> {
        let known = prefix.partition_point(|&hash| self.holders(hash).next().is_some());
        let mut matches = Vec::new();
        let nearest = known.saturating_sub(LEVELS_CONSIDERED)..known;
        for position in nearest.rev() {
            let blocks = depth_blocks(position);
            let holders = self.holders(prefix[position]);
            matches.extend(holders.map(|endpoint| Match { blocks, endpoint }));
        }
        matches
    }

    /// Remembers a prompt placed on an endpoint, and forgets what it has pushed out.
    pub(crate) fn place(
        &mut self,
        endpoint: EndpointId,
        retention: &mut Retention,
        prefix: &[u64],
        tokens: u64,
        capacity_tokens: u64,
    ) {
        retention.clock_tokens += tokens;
        for &hash in prefix {
            self.add(endpoint, retention, hash);
        }
        while let Some(oldest) = retention.placed.front() {
            if retention.clock_tokens - oldest.clock_tokens <= capacity_tokens {
                break;
            }
            let key = (oldest.hash, endpoint);
            if self.holders.get(&key) == Some(&oldest.clock_tokens) {
                self.holders.remove(&key);
            }
            retention.placed.pop_front();
        }
    }

    /// Takes news that an endpoint cached a block whose prefix is of interest.
    pub(crate) fn cached(&mut self, endpoint: EndpointId, retention: &mut Retention, hash: u64) {
        let known = self.holders(hash).next().is_some();
        if known && !self.holders.contains_key(&(hash, endpoint)) {
            self.add(endpoint, retention, hash);
        }
    }

    /// Takes news that an endpoint evicted a block.
    pub(crate) fn evicted(&mut self, endpoint: EndpointId, hash: u64) {
        self.holders.remove(&(hash, endpoint));
    }

    /// Forgets all that an endpoint held.
    pub(crate) fn forget(&mut self, endpoint: EndpointId, retention: &mut Retention) {
        for placed in retention.placed.drain(..) {
            self.holders.remove(&(placed.hash, endpoint));
        }
    }

    fn add(&mut self, endpoint: EndpointId, retention: &mut Retention, hash: u64) {
        let clock_tokens = retention.clock_tokens;
        if self.holders.insert((hash, endpoint), clock_tokens) != Some(clock_tokens) {
            retention.placed.push_back(Placed { clock_tokens, hash });
        }
    }

    fn holders(&self, hash: u64) -> impl Iterator<Item = EndpointId> {
        let all = (hash, EndpointId(0))..=(hash, EndpointId(u64::MAX));
        self.holders.range(all).map(|(&(_, endpoint), _)| endpoint)
    }
}

/// Sampled depths, from the deepest known, at which holders are sought.
const LEVELS_CONSIDERED: usize = 4;
