//! The words of an answer, which follow from the prompt and a seed alone.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinepath_core::decision::prefix::prefix_hashes;

/// Mark of the tag in a prompt, which ends at the next white space.
const TAG_MARK: &str = "tag:";

/// Tokens of an answer whose request does not set `max_tokens`.
const DEFAULT_TOKENS: std::ops::RangeInclusive<usize> = 8..=24;

/// Most tokens of one answer.
const TOKENS_MOST: usize = 32_768;

const WORDS: [&str; 16] = [
    "binding", "bore", "crew", "dream", "glue", "house", "ink", "night", "order", "page", "paper",
    "press", "pump", "river", "spine", "water",
];

/// What an engine will answer to one prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    tag: String,
    seed: u64,
    tokens: usize,
}

impl Script {
    /// Derives the answer to a prompt.
    pub fn new(prompt: &str, max_tokens: Option<u64>, seed: u64) -> Self {
        let seed = seed ^ hash(prompt);
        let mut random = StdRng::seed_from_u64(seed);
        let drawn = random.random_range(DEFAULT_TOKENS);
        let asked = max_tokens.map(|most| usize::try_from(most).unwrap_or(TOKENS_MOST));
        Self {
            tag: tag(prompt).map_or_else(|| format!("{:016x}", hash(prompt)), str::to_owned),
            seed,
            tokens: asked.unwrap_or(drawn).clamp(1, TOKENS_MOST),
        }
    }

    /// Returns the tag of the prompt, or its hash in hexadecimal digits.
    pub fn tag(&self) -> &str {
        &self.tag
    }

    /// Returns the number of tokens.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Returns one token: first `tag:TAG`, last `end:TAG`, and words between them.
    pub fn token(&self, index: usize) -> String {
        if index == 0 {
            return format!("{TAG_MARK}{}", self.tag);
        }
        if index + 1 == self.tokens {
            return format!(" end:{}", self.tag);
        }
        let mut random = StdRng::seed_from_u64(self.seed.wrapping_add(index as u64));
        format!(" {}", WORDS[random.random_range(0..WORDS.len())])
    }

    /// Returns the whole answer.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

fn tag(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.rsplit_once(TAG_MARK)?;
    rest.split_whitespace().next()
}

/// Hashes the whole prompt, with the unfinished last block filled up.
fn hash(prompt: &str) -> u64 {
    let room = sardinepath_core::decision::prefix::BLOCK_BYTES;
    let width = prompt.len().div_ceil(room).max(1) * room;
    let filled = format!("{prompt}{}", " ".repeat(width - prompt.len()));
    prefix_hashes(&filled).last().copied().unwrap_or_default()
}
