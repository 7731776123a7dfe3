//! The prompt parts that a target has probably cached.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use base::{SortedMap, TargetName, Time};
use fleet::{ModelRef, PromptPart};

/// Limit on the parts remembered for each target. An engine keeps parts of some hundred thousand
/// tokens, about a hundred parts of the usual length.
const MAX_PARTS: usize = 256;
/// How long a part counts as cached after its last use. Later it has probably been evicted.
const PART_VALIDITY: Duration = Duration::from_secs(30);

/// A prompt as a chain of hashes: each part is identified together with all parts before it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PromptChain {
    parts: Vec<(u64, u64)>,
    tokens: u64,
}

impl PromptChain {
    pub(crate) fn new(model: &ModelRef, parts: &[PromptPart], tokens: u64) -> PromptChain {
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        let mut chain = Vec::with_capacity(parts.len());
        for part in parts {
            part.id.hash(&mut hasher);
            chain.push((hasher.finish(), part.tokens));
        }
        let sum = parts.iter().map(|part| part.tokens).sum();
        PromptChain { parts: chain, tokens: tokens.max(sum) }
    }

    /// Returns the length of the whole prompt in tokens.
    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns a hash by which requests with the same shared parts prefer the same target.
    pub(crate) fn preference(&self, target: &TargetName) -> u64 {
        let shared = self.parts.len().checked_sub(2).map_or(0, |at| self.parts[at].0);
        let mut hasher = DefaultHasher::new();
        (shared, target).hash(&mut hasher);
        hasher.finish()
    }
}

/// The prompt parts that a target has read for this daemon's requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartRecord {
    parts: SortedMap<u64, Time>,
}

impl PartRecord {
    /// Returns how many tokens at the start of a prompt the target has probably cached.
    pub(crate) fn cached(&self, now: Time, chain: &PromptChain) -> u64 {
        let is_cached =
            |key: &u64| self.parts.get(key).is_some_and(|at| now.since(*at) < PART_VALIDITY);
        chain.parts.iter().take_while(|(key, _)| is_cached(key)).map(|(_, tokens)| tokens).sum()
    }

    /// Records that the target reads a prompt.
    pub(crate) fn record_prompt(&mut self, now: Time, chain: &PromptChain) {
        for (key, _) in &chain.parts {
            self.parts.insert(*key, now);
        }
        if self.parts.len() > MAX_PARTS {
            let mut times: Vec<Time> = self.parts.values().copied().collect();
            times.sort_unstable();
            let middle = times[times.len() / 2];
            self.parts.retain(|_, at| *at > middle);
        }
    }

    /// Removes all parts, as the engine does when it unloads the model or restarts.
    pub(crate) fn clear(&mut self) {
        self.parts = SortedMap::default();
    }
}
