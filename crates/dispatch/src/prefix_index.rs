//! Index of the prompt prefixes that endpoints have in their prefix caches.
//!
//! Hashes are indexed at sampled depths only: two per octave, from four blocks on. A prompt of any
//! length therefore needs only a few look-ups. A hash covers all blocks up to its own, so the
//! deepest match gives the part of a prompt that an endpoint has cached. The index is large and
//! changes with every grant. Insertion into a sorted vector would be O(n), so it is a `BTreeMap`.

use std::collections::{BTreeMap, VecDeque};

use names::EndpointId;

/// Number of blocks that the sampled hash at a position covers.
fn depth_blocks(position: usize) -> usize {
    (4 + 2 * (position % 2)) << (position / 2)
}

/// Hashes at the sampled depths, of all block hashes of a prompt.
pub(crate) fn sample_hashes(hashes: &[u64]) -> Box<[u64]> {
    (0..)
        .map(|position| depth_blocks(position) - 1)
        .map_while(|index| hashes.get(index).copied())
        .collect()
}

/// Endpoints that are expected to have each prefix cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    /// Copies of each prefix by its hash, sorted by endpoint and never empty.
    copies: BTreeMap<u64, Vec<PrefixCopy>>,
}

/// One endpoint's cached copy of one prefix.
#[derive(Debug)]
struct PrefixCopy {
    /// The endpoint's `clock_tokens` when the prefix was last used.
    clock_tokens: u64,
    endpoint: EndpointId,
    /// Number of permits that use the prefix now.
    references: u32,
}

/// Queue of one endpoint's prefixes, which are removed in order of last use.
#[derive(Debug, Default)]
pub(crate) struct PrefixRetention {
    /// Tokens added to the endpoint's cache since its first use.
    pub(crate) clock_tokens: u64,
    queue: VecDeque<RetainedPrefix>,
}

/// A prefix in the retention queue, with the time of its use.
#[derive(Debug)]
struct RetainedPrefix {
    clock_tokens: u64,
    hash: u64,
}

/// An endpoint and the number of a prompt's blocks that it has cached.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PrefixMatch {
    pub(crate) blocks: usize,
    pub(crate) endpoint: EndpointId,
    /// Whether a permit uses the blocks now, so that they need no further memory.
    pub(crate) in_use: bool,
}

impl PrefixIndex {
    /// Endpoints that have a part of a prompt cached, deepest first. An endpoint may occur twice.
    pub(crate) fn matches(&self, prefix: &[u64]) -> Vec<PrefixMatch> {
        let indexed = prefix.partition_point(|hash| self.copies.contains_key(hash));
        let mut matches = Vec::new();
        let deepest = indexed.saturating_sub(MATCHED_DEPTHS_MAX)..indexed;
        for position in deepest.rev() {
            let blocks = depth_blocks(position);
            let copies = self.copies.get(&prefix[position]);
            matches.extend(copies.into_iter().flatten().map(|copy| PrefixMatch {
                blocks,
                endpoint: copy.endpoint,
                in_use: copy.references > 0,
            }));
        }
        matches
    }

    /// Records that a permit uses a prompt, and removes the prefixes that the prompt evicts.
    ///
    /// Returns the number of blocks that other permits also use.
    pub(crate) fn acquire(
        &mut self,
        endpoint: EndpointId,
        retention: &mut PrefixRetention,
        prefix: &[u64],
        tokens: u64,
        capacity_tokens: u64,
    ) -> usize {
        retention.clock_tokens += tokens;
        let mut shared_blocks = 0;
        for (position, &hash) in prefix.iter().enumerate() {
            let copy = self.record_copy(endpoint, retention, hash);
            if copy.references > 0 {
                shared_blocks = depth_blocks(position);
            }
            copy.references += 1;
        }
        while let Some(oldest) = retention.queue.front() {
            if retention.clock_tokens - oldest.clock_tokens <= capacity_tokens {
                break;
            }
            let (hash, clock_tokens) = (oldest.hash, oldest.clock_tokens);
            retention.queue.pop_front();
            self.expire(endpoint, retention, hash, clock_tokens);
        }
        shared_blocks
    }

    /// Reverts one `acquire`. Returns the number of blocks that other permits still use.
    pub(crate) fn release(&mut self, endpoint: EndpointId, prefix: &[u64]) -> usize {
        let mut shared_blocks = 0;
        for (position, &hash) in prefix.iter().enumerate() {
            let copy = self.copy_mut(endpoint, hash);
            let copy = copy.expect("a used prefix is in the index");
            copy.references -= 1;
            if copy.references > 0 {
                shared_blocks = depth_blocks(position);
            }
        }
        shared_blocks
    }

    /// Records that an endpoint cached a block, if its prefix is in the index.
    pub(crate) fn record_cached(
        &mut self,
        endpoint: EndpointId,
        retention: &mut PrefixRetention,
        hash: u64,
    ) {
        let is_indexed = self.copies.contains_key(&hash);
        if is_indexed && self.copy_mut(endpoint, hash).is_none() {
            self.record_copy(endpoint, retention, hash);
        }
    }

    /// Records that an endpoint evicted a block, unless a permit uses its prefix.
    pub(crate) fn record_evicted(&mut self, endpoint: EndpointId, hash: u64) {
        let copy = self.copy_mut(endpoint, hash);
        if copy.is_some_and(|copy| copy.references == 0) {
            self.remove(endpoint, hash);
        }
    }

    /// Removes all prefixes of an endpoint.
    pub(crate) fn remove_endpoint(
        &mut self,
        endpoint: EndpointId,
        retention: &mut PrefixRetention,
    ) {
        for retained in std::mem::take(&mut retention.queue) {
            self.remove(endpoint, retained.hash);
        }
    }

    /// Records the use of a prefix on an endpoint now, and returns the endpoint's copy.
    fn record_copy(
        &mut self,
        endpoint: EndpointId,
        retention: &mut PrefixRetention,
        hash: u64,
    ) -> &mut PrefixCopy {
        let clock_tokens = retention.clock_tokens;
        retention
            .queue
            .push_back(RetainedPrefix { clock_tokens, hash });
        let copies = self.copies.entry(hash).or_default();
        let found = copies.binary_search_by_key(&endpoint, |copy| copy.endpoint);
        let index = found.unwrap_or_else(|index| {
            let copy = PrefixCopy {
                clock_tokens,
                endpoint,
                references: 0,
            };
            copies.insert(index, copy);
            index
        });
        copies[index].clock_tokens = clock_tokens;
        &mut copies[index]
    }

    fn copy_mut(&mut self, endpoint: EndpointId, hash: u64) -> Option<&mut PrefixCopy> {
        let copies = self.copies.get_mut(&hash)?;
        let found = copies.binary_search_by_key(&endpoint, |copy| copy.endpoint);
        Some(&mut copies[found.ok()?])
    }

    /// Removes a prefix that was not used again since `clock_tokens`, unless a permit uses it.
    fn expire(
        &mut self,
        endpoint: EndpointId,
        retention: &mut PrefixRetention,
        hash: u64,
        clock_tokens: u64,
    ) {
        let Some(copy) = self.copy_mut(endpoint, hash) else {
            return;
        };
        if copy.clock_tokens > clock_tokens {
            return;
        }
        if copy.references > 0 {
            self.record_copy(endpoint, retention, hash);
        } else {
            self.remove(endpoint, hash);
        }
    }

    fn remove(&mut self, endpoint: EndpointId, hash: u64) {
        let Some(copies) = self.copies.get_mut(&hash) else {
            return;
        };
        copies.retain(|copy| copy.endpoint != endpoint);
        if copies.is_empty() {
            self.copies.remove(&hash);
        }
    }
}

/// Number of sampled depths at which copies are matched, from the deepest indexed one.
const MATCHED_DEPTHS_MAX: usize = 2;
