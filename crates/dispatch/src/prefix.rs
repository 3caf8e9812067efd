//! Memory of which prompts were placed where.
//!
//! Hashes are kept at sampled depths only (two an octave, from four blocks on), so that a prompt of any length costs a
//! few look-ups. A hash covers all blocks up to its own, so the deepest match says how much of a
//! prompt an endpoint has cached. The set is large and changes with every grant: a sorted vector
//! would cost O(n) an insert, so this is a `BTreeMap`.

use std::collections::{BTreeMap, VecDeque};

use names::EndpointId;

/// Blocks covered by the sampled hash at a position.
fn depth_blocks(position: usize) -> usize {
    (4 + 2 * (position % 2)) << (position / 2)
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
    /// Sorted by endpoint for each hash, never empty.
    holders: BTreeMap<u64, Vec<Holder>>,
}

/// One endpoint's copy of one prefix.
#[derive(Debug)]
struct Holder {
    /// The endpoint's clock when the prefix was last placed.
    clock_tokens: u64,
    endpoint: EndpointId,
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
        let known = prefix.partition_point(|hash| self.holders.contains_key(hash));
        let mut matches = Vec::new();
        let nearest = known.saturating_sub(LEVELS_CONSIDERED)..known;
        for position in nearest.rev() {
            let blocks = depth_blocks(position);
            let holders = self.holders.get(&prefix[position]);
            matches.extend(holders.into_iter().flatten().map(|holder| Match {
                blocks,
                endpoint: holder.endpoint,
                live: holder.references > 0,
            }));
        }
        matches
    }

    /// Remembers that a permit uses a prompt, and forgets what the prompt pushes out.
    ///
    /// Gives the blocks that other permits use too.
    pub(crate) fn place(
        &mut self,
        endpoint: EndpointId,
        retention: &mut Retention,
        prefix: &[u64],
        tokens: u64,
        capacity_tokens: u64,
    ) -> usize {
        retention.clock_tokens += tokens;
        let mut shared = 0;
        for (position, &hash) in prefix.iter().enumerate() {
            let holder = self.hold(endpoint, retention, hash);
            if holder.references > 0 {
                shared = depth_blocks(position);
            }
            holder.references += 1;
        }
        while let Some(oldest) = retention.placed.front() {
            if retention.clock_tokens - oldest.clock_tokens <= capacity_tokens {
                break;
            }
            let (hash, clock_tokens) = (oldest.hash, oldest.clock_tokens);
            retention.placed.pop_front();
            self.expire(endpoint, retention, hash, clock_tokens);
        }
        shared
    }

    /// Takes back one `place`; gives the blocks that others still use.
    pub(crate) fn release(&mut self, endpoint: EndpointId, prefix: &[u64]) -> usize {
        let mut shared = 0;
        for (position, &hash) in prefix.iter().enumerate() {
            let holder = self.holder_mut(endpoint, hash);
            let holder = holder.expect("a used prefix is remembered");
            holder.references -= 1;
            if holder.references > 0 {
                shared = depth_blocks(position);
            }
        }
        shared
    }

    /// Takes news that an endpoint cached a block whose prefix is of interest.
    pub(crate) fn cached(&mut self, endpoint: EndpointId, retention: &mut Retention, hash: u64) {
        let of_interest = self.holders.contains_key(&hash);
        if of_interest && self.holder_mut(endpoint, hash).is_none() {
            self.hold(endpoint, retention, hash);
        }
    }

    /// Takes news that an endpoint evicted a block.
    pub(crate) fn evicted(&mut self, endpoint: EndpointId, hash: u64) {
        let holder = self.holder_mut(endpoint, hash);
        if holder.is_some_and(|holder| holder.references == 0) {
            self.remove(endpoint, hash);
        }
    }

    /// Forgets all that an endpoint held.
    pub(crate) fn forget(&mut self, endpoint: EndpointId, retention: &mut Retention) {
        for placed in std::mem::take(&mut retention.placed) {
            self.remove(endpoint, placed.hash);
        }
    }

    /// The endpoint's copy of a prefix, placed now.
    fn hold(&mut self, endpoint: EndpointId, retention: &mut Retention, hash: u64) -> &mut Holder {
        let clock_tokens = retention.clock_tokens;
        retention.placed.push_back(Placed { clock_tokens, hash });
        let holders = self.holders.entry(hash).or_default();
        let found = holders.binary_search_by_key(&endpoint, |holder| holder.endpoint);
        let index = found.unwrap_or_else(|index| {
            let holder = Holder {
                clock_tokens,
                endpoint,
                references: 0,
            };
            holders.insert(index, holder);
            index
        });
        holders[index].clock_tokens = clock_tokens;
        &mut holders[index]
    }

    fn holder_mut(&mut self, endpoint: EndpointId, hash: u64) -> Option<&mut Holder> {
        let holders = self.holders.get_mut(&hash)?;
        let found = holders.binary_search_by_key(&endpoint, |holder| holder.endpoint);
        Some(&mut holders[found.ok()?])
    }

    /// Forgets a prefix that was not placed again since, unless it is in use.
    fn expire(
        &mut self,
        endpoint: EndpointId,
        retention: &mut Retention,
        hash: u64,
        clock_tokens: u64,
    ) {
        let Some(holder) = self.holder_mut(endpoint, hash) else {
            return;
        };
        if holder.clock_tokens > clock_tokens {
            return;
        }
        if holder.references > 0 {
            self.hold(endpoint, retention, hash);
        } else {
            self.remove(endpoint, hash);
        }
    }

    fn remove(&mut self, endpoint: EndpointId, hash: u64) {
        let Some(holders) = self.holders.get_mut(&hash) else {
            return;
        };
        holders.retain(|holder| holder.endpoint != endpoint);
        if holders.is_empty() {
            self.holders.remove(&hash);
        }
    }
}

/// Sampled depths, from the deepest known, at which holders are sought.
const LEVELS_CONSIDERED: usize = 2;
