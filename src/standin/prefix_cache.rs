//! Prefix cache of a stand-in engine with least-recently-used eviction of blocks.

use crate::units::TokenCount;
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Bytes of prompt text per block.
const BLOCK_BYTES: usize = 256;
/// Tokens per block.
const BLOCK_TOKENS: u64 = 64;

/// Set of cached prompt blocks. A block is a hit only if all blocks before it are hits.
pub struct PrefixCache {
    max_blocks: usize,
    last_used: HashMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// Creates a cache that holds at most `limit` tokens.
    pub fn new(limit: TokenCount) -> Self {
        let max_blocks = (limit.0 / BLOCK_TOKENS) as usize;
        Self {
            max_blocks,
            last_used: HashMap::new(),
            clock: 0,
        }
    }

    /// Returns the number of cached tokens of a prompt, and caches the whole prompt.
    pub fn lookup_and_insert(&mut self, prompt: &[u8]) -> TokenCount {
        let mut prefix_hash = DefaultHasher::new();
        let mut cached_blocks = 0;
        let mut is_prefix_cached = true;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            block.hash(&mut prefix_hash);
            self.clock += 1;
            let is_cached = self
                .last_used
                .insert(prefix_hash.finish(), self.clock)
                .is_some();
            is_prefix_cached &= is_cached;
            cached_blocks += u64::from(is_prefix_cached);
        }
        self.evict();
        TokenCount(cached_blocks * BLOCK_TOKENS)
    }

    fn evict(&mut self) {
        while self.last_used.len() > self.max_blocks {
            let oldest = self
                .last_used
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(hash, _)| *hash);
            match oldest {
                Some(hash) => self.last_used.remove(&hash),
                None => return,
            };
        }
    }
}
