//! Recording and summary of the results of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use sardinepath_core::domain::time::Time;
use serde::Serialize;

use crate::policy::deployment::Client;
use crate::policy::deployment::ClientKind;
use crate::policy::deployment::Deployment;
use crate::policy::share::Claim;
use crate::policy::share::Shares;

/// Length of the windows in which served amounts are summed up, in milliseconds.
const WINDOW_MS: u64 = 60_000;

/// Service that a workspace received.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Number of requested tokens or plain calls.
    pub offered: f64,
    /// Number of tokens or plain calls of complete answers.
    pub served: f64,
    /// Ratio of served share to entitled share.
    pub ratio: f64,
    /// Number of requests that ended without a complete answer.
    pub failed: u64,
}

/// Results of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Fraction of time in which trainers wait for samples, from 0 to 1.
    pub trainer_idle: f64,
    /// Number of completed steps.
    pub steps: u64,
    /// Mean age of samples in weight versions when their step is complete.
    pub staleness_mean: f64,
    /// Maximum age of samples in weight versions when their step is complete.
    pub staleness_max: u64,
    /// Lowest ratio of served share to entitled share of all workspaces.
    pub worst_share: f64,
    /// Name of the workspace with the lowest ratio.
    pub worst_workspace: String,
    /// Engine time in seconds per thousand tokens of complete answers.
    pub target_cost: f64,
    /// Late or wrong usage reports. The simulation does not model them.
    pub usage_reports: &'static str,
    /// Fraction of prompt blocks that were found in a cache, from 0 to 1.
    pub prefix_hits: f64,
    /// Median time to the first token in milliseconds.
    pub first_median: u64,
    /// 99th percentile of the time to the first token in milliseconds.
    pub first_99th: u64,
    /// Ratio of the standard deviation of the engine loads to their mean, averaged over time.
    pub load_spread: f64,
    /// Ratio of attempts to requests that were sent to a target.
    pub amplification: f64,
    /// Tokens per second of complete answers.
    pub token_rate: f64,
    /// Service of each workspace, by name.
    pub workspaces: BTreeMap<String, Service>,
    /// Tokens per second of complete answers in each window of one minute.
    pub token_rates: Vec<f64>,
}

/// Recorder of the events of a run, from which the summary is computed.
#[derive(Debug)]
pub struct Recorder {
    clients: Vec<Client>,
    engines: usize,
    /// Offered and served tokens or plain calls, by window and client.
    offered: Vec<Vec<f64>>,
    served: Vec<Vec<f64>>,
    shares: Shares,
    failed: Vec<u64>,
    /// Time to the first token of each started attempt, in milliseconds.
    first_tokens: Vec<u64>,
    /// Cached and total prompt blocks.
    blocks: (u64, u64),
    /// First attempts and all attempts.
    attempts: (u64, u64),
    spreads: Vec<f64>,
    ages: Vec<u64>,
    idle: Duration,
    trainer: Duration,
    steps: u64,
}

impl Recorder {
    /// Returns an empty recorder for a run that ends at `end`.
    pub fn new(deployment: &Deployment, end: Time) -> Self {
        // A run has at most a few thousand windows.
        let windows = usize::try_from(end.0.div_ceil(WINDOW_MS)).unwrap_or(1);
        let clients = deployment.clients.clone();
        let empty = vec![vec![0.0; clients.len()]; windows];
        Self {
            shares: Shares::new(clients.len()),
            failed: vec![0; clients.len()],
            clients,
            engines: deployment.engines,
            offered: empty.clone(),
            served: empty,
            first_tokens: vec![],
            blocks: (0, 0),
            attempts: (0, 0),
            spreads: vec![],
            ages: vec![],
            idle: Duration::ZERO,
            trainer: Duration::ZERO,
            steps: 0,
        }
    }

    /// Records that a client requests a number of tokens or plain calls.
    pub fn offer(&mut self, now: Time, client: usize, amount: u64) {
        add(&mut self.offered, now, client, amount);
    }

    /// Records a complete answer.
    pub fn serve(&mut self, now: Time, client: usize, amount: u64) {
        add(&mut self.served, now, client, amount);
    }

    /// Records a request that ended without a complete answer.
    pub fn fail(&mut self, client: usize) {
        self.failed[client] += 1;
    }

    /// Records the slots that each workspace of a pool uses and could use during an interval.
    pub fn claims(&mut self, claims: &[(usize, Claim)], interval: Duration) {
        self.shares.sample(claims, interval.as_secs_f64());
    }

    /// Records the slot time of an attempt without a complete answer.
    pub fn waste(&mut self, client: usize, time: Duration) {
        self.shares.waste(client, time);
    }

    /// Records the time to the first token of an attempt, and the cached and total prompt blocks.
    pub fn first_token(&mut self, latency: Duration, hits: usize, blocks: usize) {
        self.first_tokens
            .push(u64::try_from(latency.as_millis()).unwrap_or(u64::MAX));
        self.blocks.0 += hits as u64;
        self.blocks.1 += blocks as u64;
    }

    /// Records an attempt. `first` is `true` for the first attempt of a request.
    pub fn attempt(&mut self, first: bool) {
        self.attempts.0 += u64::from(first);
        self.attempts.1 += 1;
    }

    /// Records the loads of the engines that are up.
    pub fn loads(&mut self, loads: &[u32]) {
        let mean = mean(loads.iter().map(|load| f64::from(*load)));
        if mean > 0.0 {
            let squares = loads.iter().map(|load| (f64::from(*load) - mean).powi(2));
            let variance = self::mean(squares);
            self.spreads.push(variance.sqrt() / mean);
        }
    }

    /// Records a completed step with the ages of its samples in weight versions.
    pub fn step(&mut self, ages: impl Iterator<Item = u64>) {
        self.steps += 1;
        self.ages.extend(ages);
    }

    /// Records the idle time and the total time of a trainer.
    pub fn trainer(&mut self, idle: Duration, all: Duration) {
        self.idle += idle;
        self.trainer += all;
    }

    /// Returns the summary of the run.
    pub fn summary(mut self, end: Time) -> Summary {
        let workspaces = self.services();
        let worst = workspaces
            .iter()
            .min_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio));
        let rates = self.token_rates(end);
        let seconds = Duration::from_millis(end.0).as_secs_f64();
        let models = (0..self.clients.len()).filter(|c| !self.is_plain(*c));
        let tokens: f64 = models.map(|c| column(&self.served, c)).sum();
        self.first_tokens.sort_unstable();
        Summary {
            trainer_idle: self.idle.as_secs_f64() / self.trainer.as_secs_f64().max(1.0),
            steps: self.steps,
            staleness_mean: mean(self.ages.iter().map(|age| to_float(*age))),
            staleness_max: self.ages.iter().copied().max().unwrap_or(0),
            worst_share: worst.map_or(1.0, |(_, service)| service.ratio),
            worst_workspace: worst.map_or(String::new(), |(name, _)| name.clone()),
            target_cost: to_float(self.engines as u64) * seconds / (tokens / 1000.0).max(1.0),
            usage_reports: "not modelled",
            prefix_hits: to_float(self.blocks.0) / to_float(self.blocks.1.max(1)),
            first_median: percentile(&self.first_tokens, 50),
            first_99th: percentile(&self.first_tokens, 99),
            load_spread: mean(self.spreads.iter().copied()),
            amplification: to_float(self.attempts.1) / to_float(self.attempts.0.max(1)),
            token_rate: tokens / seconds,
            workspaces,
            token_rates: rates,
        }
    }

    fn services(&self) -> BTreeMap<String, Service> {
        let numbers = 0..self.clients.len();
        let service = |number: usize| {
            let same = |other: &usize| self.is_plain(*other) == self.is_plain(number);
            let pool: Vec<_> = numbers.clone().filter(same).collect();
            let service = Service {
                offered: column(&self.offered, number),
                served: column(&self.served, number),
                ratio: self.shares.ratio(number, &pool),
                failed: self.failed[number],
            };
            (self.clients[number].name.to_owned(), service)
        };
        numbers.clone().map(service).collect()
    }

    fn token_rates(&self, end: Time) -> Vec<f64> {
        let rate = |(window, row): (usize, &Vec<f64>)| {
            let models = row.iter().enumerate().filter(|(c, _)| !self.is_plain(*c));
            let tokens: f64 = models.map(|(_, tokens)| tokens).sum();
            let begin = window as u64 * WINDOW_MS;
            let length = WINDOW_MS.min(end.0.saturating_sub(begin)).max(1);
            tokens / Duration::from_millis(length).as_secs_f64()
        };
        self.served.iter().enumerate().map(rate).collect()
    }

    fn is_plain(&self, client: usize) -> bool {
        self.clients[client].kind == ClientKind::Plain
    }
}

fn add(rows: &mut [Vec<f64>], now: Time, client: usize, amount: u64) {
    let window = usize::try_from(now.0 / WINDOW_MS).unwrap_or(usize::MAX);
    if let Some(row) = rows.get_mut(window) {
        row[client] += to_float(amount);
    }
}

fn column(rows: &[Vec<f64>], client: usize) -> f64 {
    rows.iter().map(|row| row[client]).sum()
}

fn percentile(sorted: &[u64], percent: usize) -> u64 {
    let index = sorted.len() * percent / 100;
    sorted.get(index).copied().unwrap_or(0)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Converts a count to `f64`. Counts of a run are far below the limit of exact integers.
#[allow(clippy::cast_precision_loss)]
fn to_float(count: u64) -> f64 {
    count as f64
}
