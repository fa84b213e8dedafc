//! What clients ask for: heavy-tailed answers, bursts, and steps of samples in groups.

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
use crate::policy::deployment::Demand;
use crate::policy::deployment::TEAM;
use crate::policy::deployment::pool_name;

/// Time that a trainer trains on one step.
pub const TRAIN_TIME: Duration = Duration::from_secs(60);

/// Samples of one group. They share their prompt.
const GROUP: usize = 8;

/// Share of samples that are stragglers.
const STRAGGLERS: f64 = 0.03;

/// Length of a straggler over that of another sample.
const STRAGGLER_LENGTH: f64 = 6.0;

/// Longest answer in tokens.
const MOST_TOKENS: f64 = 4096.0;

/// Period of bursts, and the part of it that is a burst, in milliseconds.
const BURST_PERIOD: u64 = 60_000;
const BURST_TIME: u64 = 10_000;

/// Rates in and out of a burst over the mean rate. Their mean over a period is one.
const BURST_RATE: f64 = 2.5;
const CALM_RATE: f64 = 0.7;

/// Time in which the answer of a call must be whole.
const CALL_DEADLINE: Duration = Duration::from_secs(60);

/// Time in which a sample must be whole.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(600);

/// Blocks that the prompts of a family have in common, and blocks of one prompt alone.
const COMMON_BLOCKS: u64 = 16;
const OWN_BLOCKS: u64 = 4;

/// Families of prompts of one client.
const FAMILIES: u64 = 20;

/// A request with its true length.
pub struct Draft {
    /// What the entry is told.
    pub ask: AdmissionRequest,
    /// True length of the answer.
    pub tokens: u64,
}

/// Random requests of one client. Their sequence does not depend on the policy.
pub struct Source {
    client: Client,
    number: u64,
    /// Mean calls or samples per second.
    rate: f64,
    random: ChaCha8Rng,
    prompts: u64,
}

impl Source {
    /// Creates the source of a client that offers `tokens` tokens (or plain calls) a second.
    pub fn new(client: Client, number: usize, offered: f64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed ^ (number as u64 + 1) << 32);
        let mut source = Self {
            client,
            number: number as u64,
            rate: 1.0,
            random,
            prompts: 0,
        };
        source.rate = offered / source.mean();
        source
    }

    /// Returns the time to the next call of an open-loop client.
    pub fn gap(&mut self, now: Time) -> Duration {
        let phase = (now.0 + self.number * BURST_PERIOD / 7) % BURST_PERIOD;
        let factor = if phase < BURST_TIME {
            BURST_RATE
        } else {
            CALM_RATE
        };
        let gap = Exp::new(self.rate * factor).map_or(f64::MAX, |exp| exp.sample(&mut self.random));
        Duration::from_secs_f64(gap.min(3600.0))
    }

    /// Draws the next call.
    pub fn call(&mut self, now: Time) -> Draft {
        let family = self.random.random_range(0..FAMILIES);
        let family = family.min(self.random.random_range(0..FAMILIES));
        let prefixes = match self.client.demand {
            Demand::Plain => vec![],
            Demand::Calls | Demand::Steps => self.prompt(family),
        };
        Draft {
            ask: self.ask(now + CALL_DEADLINE, prefixes),
            tokens: self.length(),
        }
    }

    /// Draws the samples of the next step.
    pub fn step(&mut self, now: Time) -> Vec<Draft> {
        let groups = self.rate * TRAIN_TIME.as_secs_f64() / GROUP as f64;
        // The rate is positive and gives at most some thousand groups.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let groups = (groups.round() as usize).max(1);
        let mut drafts = vec![];
        for _ in 0..groups {
            let prompt = self.prompt(0);
            for _ in 0..GROUP {
                drafts.push(Draft {
                    ask: self.ask(now + SAMPLE_DEADLINE, prompt.clone()),
                    tokens: self.length(),
                });
            }
        }
        drafts
    }

    /// Returns the deadline of a sample that is asked for again.
    pub fn sample_deadline(now: Time) -> Time {
        now + SAMPLE_DEADLINE
    }

    fn ask(&self, deadline: Time, prefixes: Vec<u64>) -> AdmissionRequest {
        let pool = pool_name(self.client.kind());
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

    /// Returns the prefix hashes of a new prompt of a family.
    fn prompt(&mut self, family: u64) -> Vec<u64> {
        self.prompts += 1;
        let base = (self.number + 1) << 48;
        let common = (0..COMMON_BLOCKS).map(|block| base | (family << 8) | block);
        let own = (0..OWN_BLOCKS).map(|block| base | (1 << 47) | (self.prompts << 8) | block);
        common.chain(own).collect()
    }

    /// Draws the length of an answer in tokens. A plain call counts as one.
    fn length(&mut self) -> u64 {
        length(self.client.demand, &mut self.random)
    }

    /// Returns the mean length, measured on a sequence of its own.
    fn mean(&self) -> f64 {
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let lengths = (0..20_000).map(|_| length(self.client.demand, &mut random));
        // The sum is far below the limit of exact integers.
        #[allow(clippy::cast_precision_loss)]
        let sum = lengths.sum::<u64>() as f64;
        sum / 20_000.0
    }
}

fn length(demand: Demand, random: &mut impl Rng) -> u64 {
    let (mean, spread) = match demand {
        Demand::Plain => return 1,
        Demand::Calls => (200.0_f64, 1.0_f64),
        Demand::Steps => (250.0, 0.8),
    };
    let normal = LogNormal::new(mean.ln() - spread * spread / 2.0, spread);
    let length = normal.map_or(mean, |normal| normal.sample(random));
    let slow = demand == Demand::Steps && random.random::<f64>() < STRAGGLERS;
    let factor = if slow { STRAGGLER_LENGTH } else { 1.0 };
    // Clamped to a small positive range.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let length = (length * factor).clamp(8.0, MOST_TOKENS) as u64;
    length
}
