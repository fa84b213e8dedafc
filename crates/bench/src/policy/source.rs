//! Generator of client requests: answers of heavy-tailed length, bursts of calls, and training
//! steps with groups of samples.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use sardinepath_core::decision::traffic::AdmissionRequest;
use sardinepath_core::domain::ids::WeightVersion;
use sardinepath_core::domain::name::PoolId;
use sardinepath_core::domain::name::RouteId;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::time::Time;

use crate::policy::deployment::Client;
use crate::policy::deployment::ClientKind;
use crate::policy::deployment::TEAM;
use crate::policy::deployment::pool_name;

/// Time that a trainer needs to train on one step.
pub const TRAINING_TIME: Duration = Duration::from_secs(60);

/// Number of samples in a group, which share a prompt.
const GROUP_SIZE: usize = 8;

/// Fraction of samples that are stragglers.
const STRAGGLER_RATIO: f64 = 0.03;

/// Ratio of the length of a straggler to that of another sample.
const STRAGGLER_FACTOR: f64 = 6.0;

/// Maximum length of an answer in tokens.
const MAX_TOKENS: f64 = 4096.0;

/// Period of bursts and length of a burst within it, in milliseconds.
const BURST_PERIOD_MS: u64 = 60_000;
const BURST_MS: u64 = 10_000;

/// Ratios of the rate during and outside of a burst to the mean rate. Their mean over a period is
/// 1.
const BURST_FACTOR: f64 = 2.5;
const BASE_FACTOR: f64 = 0.7;

/// Time from the submission of a call to its deadline.
const CALL_DEADLINE: Duration = Duration::from_secs(60);

/// Time from the submission of a sample to its deadline.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(600);

/// Number of blocks that all prompts of a family share, and number of blocks unique to a prompt.
const SHARED_BLOCKS: u64 = 16;
const UNIQUE_BLOCKS: u64 = 4;

/// Number of prompt families of a client.
const PROMPT_FAMILIES: u64 = 20;

/// A generated request with the true length of its answer.
pub struct GeneratedRequest {
    /// Request as the entry receives it.
    pub request: AdmissionRequest,
    /// Length of the answer in tokens. A plain call counts as one.
    pub tokens: u64,
}

/// Generator of the random requests of a client. Their sequence does not depend on the policy.
pub struct Source {
    client: Client,
    number: u64,
    /// Mean calls or samples per second.
    rate: f64,
    random: ChaCha8Rng,
    prompts: u64,
}

impl Source {
    /// Returns the source of a client that offers `offered` tokens or plain calls per second.
    pub fn new(client: Client, number: usize, offered: f64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
        let mut source = Self {
            client,
            number: number as u64,
            rate: 1.0,
            random,
            prompts: 0,
        };
        source.rate = offered / source.mean_length();
        source
    }

    /// Draws the time to the next call of an open-loop client.
    pub fn next_gap(&mut self, now: Time) -> Duration {
        let phase = (now.0 + self.number * BURST_PERIOD_MS / 7) % BURST_PERIOD_MS;
        let factor = if phase < BURST_MS {
            BURST_FACTOR
        } else {
            BASE_FACTOR
        };
        let gap = Exp::new(self.rate * factor).map_or(f64::MAX, |exp| exp.sample(&mut self.random));
        Duration::from_secs_f64(gap.min(3600.0))
    }

    /// Draws the next call.
    pub fn next_call(&mut self, now: Time) -> GeneratedRequest {
        let family = self.random.random_range(0..PROMPT_FAMILIES);
        let family = family.min(self.random.random_range(0..PROMPT_FAMILIES));
        let prefixes = match self.client.kind {
            ClientKind::Plain => vec![],
            ClientKind::Calls | ClientKind::Steps => self.prompt(family),
        };
        GeneratedRequest {
            request: self.request(now + CALL_DEADLINE, prefixes),
            tokens: self.draw_length(),
        }
    }

    /// Draws the samples of the next step.
    pub fn next_step(&mut self, now: Time) -> Vec<GeneratedRequest> {
        let groups = self.rate * TRAINING_TIME.as_secs_f64() / GROUP_SIZE as f64;
        // The rate is positive and gives at most a few thousand groups.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let groups = (groups.round() as usize).max(1);
        let mut samples = vec![];
        for _ in 0..groups {
            let prompt = self.prompt(0);
            for _ in 0..GROUP_SIZE {
                samples.push(GeneratedRequest {
                    request: self.request(now + SAMPLE_DEADLINE, prompt.clone()),
                    tokens: self.draw_length(),
                });
            }
        }
        samples
    }

    /// Returns the deadline of a sample that is resubmitted at `now`.
    pub fn sample_deadline(now: Time) -> Time {
        now + SAMPLE_DEADLINE
    }

    fn request(&self, deadline: Time, prefixes: Vec<u64>) -> AdmissionRequest {
        let pool = pool_name(self.client.target_kind());
        AdmissionRequest {
            route: RouteId {
                team: TEAM.into(),
                name: pool.into(),
            },
            pool: PoolId {
                team: TEAM.into(),
                name: pool.into(),
            },
            workspace: WorkspaceId {
                team: TEAM.into(),
                name: self.client.name.into(),
            },
            key: None,
            priority: self.client.priority,
            prefixes,
            max_tokens: 4096,
            min_version: WeightVersion(0),
            deadline,
        }
    }

    /// Returns the prefix hashes of a new prompt in a family.
    fn prompt(&mut self, family: u64) -> Vec<u64> {
        self.prompts += 1;
        let base = (self.number + 1) << 48;
        let shared = (0..SHARED_BLOCKS).map(|block| base | (family << 8) | block);
        let unique = (0..UNIQUE_BLOCKS).map(|block| base | (1 << 47) | (self.prompts << 8) | block);
        shared.chain(unique).collect()
    }

    /// Draws the length of an answer in tokens. A plain call counts as one.
    fn draw_length(&mut self) -> u64 {
        draw_length(self.client.kind, &mut self.random)
    }

    /// Returns the mean length of answers. It is estimated with a separate generator, so that the
    /// sequence of requests is not affected.
    fn mean_length(&self) -> f64 {
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let lengths = (0..20_000).map(|_| draw_length(self.client.kind, &mut random));
        // The sum is far below the limit of exact integers.
        #[allow(clippy::cast_precision_loss)]
        let sum = lengths.sum::<u64>() as f64;
        sum / 20_000.0
    }
}

fn draw_length(kind: ClientKind, random: &mut impl Rng) -> u64 {
    let (mean_length, spread) = match kind {
        ClientKind::Plain => return 1,
        ClientKind::Calls => (200.0_f64, 1.0_f64),
        ClientKind::Steps => (250.0, 0.8),
    };
    let normal = LogNormal::new(mean_length.ln() - spread * spread / 2.0, spread);
    let length = normal.map_or(mean_length, |normal| normal.sample(random));
    let is_straggler = kind == ClientKind::Steps && random.random::<f64>() < STRAGGLER_RATIO;
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    // The value is clamped to a small positive range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length = (length * factor).clamp(8.0, MAX_TOKENS) as u64;
    length
}
