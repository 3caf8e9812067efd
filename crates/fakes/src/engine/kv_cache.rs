use std::collections::BTreeMap;

/// Changes of the prefix cache between two calls of [`EngineModel::take_cache_update`].
///
/// [`EngineModel::take_cache_update`]: crate::engine::EngineModel::take_cache_update
#[derive(Debug, Default)]
pub struct CacheUpdate {
    /// Hashes of the blocks added to the cache.
    pub added: Vec<u64>,
    /// Hashes of the blocks evicted from the cache.
    pub evicted: Vec<u64>,
}

/// Prefix block that several sequences may reference.
#[derive(Debug)]
struct SharedBlock {
    reference_count: u32,
    /// Number of the release that left the block unreferenced; key in `evictable`.
    release_number: u64,
}

/// KV cache of an engine: private blocks of one sequence each, and prefix blocks shared by hash.
#[derive(Debug)]
pub(crate) struct KvCache {
    capacity_blocks: usize,
    /// Unreferenced shared blocks, least recently released first.
    evictable: BTreeMap<u64, u64>,
    private_blocks: usize,
    release_count: u64,
    shared_blocks: BTreeMap<u64, SharedBlock>,
    update: CacheUpdate,
}

impl KvCache {
    pub(crate) fn new(capacity_blocks: usize) -> Self {
        Self {
            capacity_blocks,
            evictable: BTreeMap::new(),
            private_blocks: 0,
            release_count: 0,
            shared_blocks: BTreeMap::new(),
            update: CacheUpdate::default(),
        }
    }

    /// References all hashes and allocates private blocks.
    ///
    /// Changes nothing and returns false if fewer than `reserve` blocks would stay free.
    pub(crate) fn admit(&mut self, hashes: &[u64], private: usize, reserve: usize) -> bool {
        let (mut missing, mut unreferenced) = (0, 0);
        for hash in hashes {
            match self.shared_blocks.get(hash) {
                None => missing += 1,
                Some(block) if block.reference_count == 0 => unreferenced += 1,
                Some(_) => {}
            }
        }
        if self.used_blocks() + unreferenced + missing + private + reserve > self.capacity_blocks {
            return false;
        }
        let absent: Vec<u64> = hashes
            .iter()
            .copied()
            .filter(|hash| !self.reference(*hash))
            .collect();
        for hash in absent {
            self.evict_if_full();
            self.shared_blocks.insert(
                hash,
                SharedBlock {
                    reference_count: 1,
                    release_number: 0,
                },
            );
            self.update.added.push(hash);
        }
        for _ in 0..private {
            assert!(
                self.allocate_private_block(),
                "an admitted sequence gets its private blocks"
            );
        }
        true
    }

    pub(crate) fn allocate_private_block(&mut self) -> bool {
        if self.used_blocks() >= self.capacity_blocks {
            return false;
        }
        self.evict_if_full();
        self.private_blocks += 1;
        true
    }

    /// Counts the leading hashes that are cached.
    pub(crate) fn cached_prefix_blocks(&self, hashes: &[u64]) -> usize {
        hashes
            .iter()
            .take_while(|hash| self.shared_blocks.contains_key(hash))
            .count()
    }

    pub(crate) fn release(&mut self, hashes: &[u64], private: usize) {
        assert!(
            private <= self.private_blocks,
            "a private block is released once"
        );
        self.private_blocks -= private;
        for hash in hashes.iter().rev() {
            let block = self
                .shared_blocks
                .get_mut(hash)
                .expect("referenced blocks stay cached");
            block.reference_count -= 1;
            if block.reference_count == 0 {
                self.release_count += 1;
                block.release_number = self.release_count;
                self.evictable.insert(self.release_count, *hash);
            }
        }
    }

    pub(crate) fn take_update(&mut self) -> CacheUpdate {
        std::mem::take(&mut self.update)
    }

    /// Private blocks and referenced shared blocks.
    pub(crate) fn used_blocks(&self) -> usize {
        self.private_blocks + self.shared_blocks.len() - self.evictable.len()
    }

    fn evict_if_full(&mut self) {
        if self.private_blocks + self.shared_blocks.len() < self.capacity_blocks {
            return;
        }
        let (_, hash) = self
            .evictable
            .pop_first()
            .expect("an unreferenced block can be evicted");
        self.shared_blocks.remove(&hash);
        self.update.evicted.push(hash);
    }

    /// Adds a reference to a cached block; false if the block is not cached.
    fn reference(&mut self, hash: u64) -> bool {
        let Some(block) = self.shared_blocks.get_mut(&hash) else {
            return false;
        };
        if block.reference_count == 0 {
            self.evictable.remove(&block.release_number);
        }
        block.reference_count += 1;
        true
    }
}
