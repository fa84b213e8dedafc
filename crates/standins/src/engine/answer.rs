//! Content of generated answers, which depends only on the prompt and a seed.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sardinepath_core::decision::prefix::prefix_hashes;

/// Marker before the tag in a prompt. The tag ends at the next white space.
const TAG_MARK: &str = "tag:";

/// Range of the number of tokens of an answer whose request does not set `max_tokens`.
const DEFAULT_TOKENS: std::ops::RangeInclusive<usize> = 8..=24;

/// Maximum number of tokens of an answer.
const MAX_TOKENS: usize = 32_768;

/// Words of which the tokens of an answer are drawn.
const WORDS: [&str; 16] = [
    "binding", "bore", "crew", "dream", "glue", "house", "ink", "night", "order", "page", "paper",
    "press", "pump", "river", "spine", "water",
];

/// Predetermined answer to a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Script {
    tag: String,
    seed: u64,
    tokens: usize,
}

impl Script {
    /// Derives the answer from the prompt, the requested number of tokens and the engine's seed.
    pub fn new(prompt: &str, max_tokens: Option<u64>, seed: u64) -> Self {
        let seed = seed ^ prompt_hash(prompt);
        let mut random = StdRng::seed_from_u64(seed);
        let drawn = random.random_range(DEFAULT_TOKENS);
        let requested = max_tokens.map(|count| usize::try_from(count).unwrap_or(MAX_TOKENS));
        Self {
            tag: tag(prompt).map_or_else(|| format!("{:016x}", prompt_hash(prompt)), str::to_owned),
            seed,
            tokens: requested.unwrap_or(drawn).clamp(1, MAX_TOKENS),
        }
    }

    /// Returns the tag of the prompt, or its hash in hexadecimal digits.
    pub fn tag(&self) -> &str {
        &self.tag
    }

    /// Returns the number of tokens of the answer, which is at least 1.
    pub fn tokens(&self) -> usize {
        self.tokens
    }

    /// Returns the token at an index. The first token is `tag:TAG`, the last one is ` end:TAG`, and
    /// the others are words.
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

    /// Returns the text of the complete answer.
    pub fn text(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}

fn tag(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.rsplit_once(TAG_MARK)?;
    rest.split_whitespace().next()
}

/// Returns the hash of the whole prompt. The last block is padded, since only complete blocks are
/// hashed.
fn prompt_hash(prompt: &str) -> u64 {
    let block = sardinepath_core::decision::prefix::BLOCK_BYTES;
    let padded = prompt.len().div_ceil(block).max(1) * block;
    let text = format!("{prompt}{}", " ".repeat(padded - prompt.len()));
    prefix_hashes(&text).last().copied().unwrap_or_default()
}
