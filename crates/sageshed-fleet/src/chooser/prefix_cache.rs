//! The content of an engine's prefix cache, as far as one entry process knows it.
//!
//! An engine caches prompt prefixes separately for each model and adapter. If a prefix that was computed
//! for another model counted as cached, the engine would have up to a third more to prefill than estimated,
//! and its streams would pause for longer.

use std::collections;

use crate::{dialect, directory, entry_peers, entry_peers::CacheScope};

/// Prompt parts that are remembered for each engine.
const MAX_PARTS: usize = 2_000;

/// The parts that one engine caches.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    /// For each part, by scope and id, the value of `clock` when it was last recorded.
    parts: collections::HashMap<(CacheScope, u64), u64>,
    /// Number of prompts and prefixes recorded so far.
    clock: u64,
}

impl PrefixCache {
    /// Tokens of the prefix of a prompt that are cached. A part after one that is not cached has to be
    /// prefilled again.
    pub(super) fn cached_tokens(
        &self,
        wanted: &dialect::ModelRef,
        parts: &[dialect::PromptPart],
    ) -> u64 {
        let scope = CacheScope::of(wanted);
        let is_cached = |part: &&dialect::PromptPart| self.parts.contains_key(&(scope, part.id));
        parts
            .iter()
            .take_while(is_cached)
            .map(|part| part.tokens)
            .sum()
    }

    /// Records that the engine prefilled a prompt of these parts.
    pub(super) fn insert(&mut self, wanted: &dialect::ModelRef, parts: &[dialect::PromptPart]) {
        self.insert_parts(CacheScope::of(wanted), parts.iter().map(|part| part.id));
    }

    /// Records a prefix that the engine prefilled for another process.
    pub(super) fn insert_observed(&mut self, prefix: &entry_peers::PromptPrefix) {
        self.insert_parts(prefix.scope, prefix.parts.iter().copied());
    }

    fn insert_parts(&mut self, scope: CacheScope, parts: impl Iterator<Item = u64>) {
        self.clock += 1;
        for part in parts {
            self.parts.insert((scope, part), self.clock);
        }
        if self.parts.len() > MAX_PARTS {
            self.evict_older_half();
        }
    }

    /// Drops the prefixes of models that the engine has unloaded.
    pub(super) fn retain_models(&mut self, models: &[directory::Resident]) {
        let resident: Vec<u64> = models
            .iter()
            .map(|it| entry_peers::name_key(&it.model))
            .collect();
        self.parts
            .retain(|(scope, _), _| resident.contains(&scope.model));
    }

    fn evict_older_half(&mut self) {
        let mut uses: Vec<u64> = self.parts.values().copied().collect();
        let middle = uses.len() / 2;
        let (_, median, _) = uses.select_nth_unstable(middle);
        let oldest_kept = *median;
        self.parts.retain(|_, used| *used > oldest_kept);
    }
}
