//! The prefix cache of a stand-in engine: least recently used blocks go first.

use crate::units::TokenCount;
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
};

/// Bytes of a prompt in one block.
const BLOCK_BYTES: usize = 256;
/// Tokens in one block.
const BLOCK_TOKENS: u64 = 64;

/// Which prompt blocks are cached. A block counts only after all before it.
pub struct PrefixCache {
    limit_blocks: usize,
    used_at: HashMap<u64, u64>,
    clock: u64,
}

impl PrefixCache {
    /// A cache of at most this many tokens.
    pub fn new(limit: TokenCount) -> Self {
        let limit_blocks = (limit.0 / BLOCK_TOKENS) as usize;
        Self {
            limit_blocks,
            used_at: HashMap::new(),
            clock: 0,
        }
    }

    /// The tokens of a prompt that are cached; caches the whole prompt.
    pub fn take(&mut self, prompt: &[u8]) -> TokenCount {
        let mut chain = DefaultHasher::new();
        let mut cached_blocks = 0;
        let mut unbroken = true;
        for block in prompt.chunks_exact(BLOCK_BYTES) {
            block.hash(&mut chain);
            self.clock += 1;
            let known = self.used_at.insert(chain.finish(), self.clock).is_some();
            unbroken &= known;
            cached_blocks += u64::from(unbroken);
        }
        self.evict();
        TokenCount(cached_blocks * BLOCK_TOKENS)
    }

    fn evict(&mut self) {
        while self.used_at.len() > self.limit_blocks {
            let oldest = self
                .used_at
                .iter()
                .min_by_key(|(_, at)| **at)
                .map(|(hash, _)| *hash);
            match oldest {
                Some(hash) => self.used_at.remove(&hash),
                None => return,
            };
        }
    }
}
