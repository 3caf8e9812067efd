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
    let ordinal = position + 1;
    if ordinal < 4 {
        return ordinal;
    }
    (4 + ordinal % 4) << (ordinal / 4 - 1)
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
    holders: BTreeMap<(u64, EndpointId), Holder>,
}

/// One endpoint's copy of one prefix.
#[derive(Debug, Default)]
struct Holder {
    /// The endpoint's clock when the prefix was last placed.
    clock_tokens: u64,
    /// Permits that use the prefix now.
    references: u32,
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
    /// Whether a permit uses the blocks now, so that they take no further memory.
    pub(crate) live: bool,
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
            matches.extend(holders.map(|(endpoint, holder)| Match {
                blocks,
                endpoint,
                live: holder.references > 0,
            }));
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
            let (hash, clock_tokens) = (oldest.hash, oldest.clock_tokens);
            retention.placed.pop_front();
            self.expire(endpoint, retention, hash, clock_tokens);
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
        let unused = |holder: &Holder| holder.references == 0;
        if self.holders.get(&(hash, endpoint)).is_some_and(unused) {
            self.holders.remove(&(hash, endpoint));
        }
    }

    /// Counts that a permit uses a prompt; gives the blocks that others use too.
    pub(crate) fn retain(&mut self, endpoint: EndpointId, prefix: &[u64]) -> usize {
        let mut shared = 0;
        for (position, &hash) in prefix.iter().enumerate() {
            let holder = self.holders.entry((hash, endpoint)).or_default();
            if holder.references > 0 {
                shared = depth_blocks(position);
            }
            holder.references += 1;
        }
        shared
    }

    /// Takes back one `retain`; gives the blocks that others still use.
    pub(crate) fn release(&mut self, endpoint: EndpointId, prefix: &[u64]) -> usize {
        let mut shared = 0;
        for (position, &hash) in prefix.iter().enumerate() {
            let holder = self.holders.get_mut(&(hash, endpoint));
            let holder = holder.expect("a used prefix is remembered");
            holder.references -= 1;
            if holder.references > 0 {
                shared = depth_blocks(position);
            }
        }
        shared
    }

    /// Forgets all that an endpoint held.
    pub(crate) fn forget(&mut self, endpoint: EndpointId, retention: &mut Retention) {
        for placed in retention.placed.drain(..) {
            self.holders.remove(&(placed.hash, endpoint));
        }
    }

    fn add(&mut self, endpoint: EndpointId, retention: &mut Retention, hash: u64) {
        let clock_tokens = retention.clock_tokens;
        let holder = self.holders.entry((hash, endpoint)).or_default();
        holder.clock_tokens = clock_tokens;
        retention.placed.push_back(Placed { clock_tokens, hash });
    }

    /// Forgets a prefix that was not placed again since, unless it is in use.
    fn expire(
        &mut self,
        endpoint: EndpointId,
        retention: &mut Retention,
        hash: u64,
        clock_tokens: u64,
    ) {
        let Some(holder) = self.holders.get(&(hash, endpoint)) else {
            return;
        };
        if holder.clock_tokens > clock_tokens {
            return;
        }
        if holder.references > 0 {
            self.add(endpoint, retention, hash);
        } else {
            self.holders.remove(&(hash, endpoint));
        }
    }

    fn holders(&self, hash: u64) -> impl Iterator<Item = (EndpointId, &Holder)> {
        let all = (hash, EndpointId(0))..=(hash, EndpointId(u64::MAX));
        let found = self.holders.range(all);
        found.map(|(&(_, endpoint), holder)| (endpoint, holder))
    }
}

/// Sampled depths, from the deepest known, at which holders are sought.
const LEVELS_CONSIDERED: usize = 4;
