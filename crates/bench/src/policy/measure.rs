//! Measures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use sardinepath_core::domain::time::Time;
use serde::Serialize;

use crate::policy::deployment::Client;
use crate::policy::deployment::Demand;
use crate::policy::deployment::Deployment;
use crate::policy::share::Claim;
use crate::policy::share::Shares;

/// Length of the windows in which service is added up, in milliseconds.
const WINDOW: u64 = 60_000;

/// Service of one workspace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Service {
    /// Tokens (or plain calls) asked for.
    pub offered: f64,
    /// Tokens (or plain calls) of whole answers.
    pub served: f64,
    /// Served share over entitled share.
    pub ratio: f64,
    /// Requests that ended without a whole answer.
    pub failed: u64,
}

/// Measures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Share of time in which trainers wait for samples.
    pub trainer_idle: f64,
    /// Steps that were whole.
    pub steps: u64,
    /// Mean age of samples in weight versions when their step is whole.
    pub staleness_mean: f64,
    /// Highest such age.
    pub staleness_max: u64,
    /// Lowest served share over entitled share.
    pub worst_share: f64,
    /// Workspace with that ratio.
    pub worst_workspace: String,
    /// Target seconds per thousand tokens.
    pub target_cost: f64,
    /// Late or wrong usage reports.
    pub usage_reports: &'static str,
    /// Share of prompt blocks found in a cache.
    pub prefix_hits: f64,
    /// Median time to first token in milliseconds.
    pub first_median: u64,
    /// 99th percentile of the time to first token in milliseconds.
    pub first_99th: u64,
    /// Standard deviation of the engines' load over its mean, averaged over time.
    pub load_spread: f64,
    /// Attempts over requests that were sent to a target.
    pub amplification: f64,
    /// Tokens per second of whole answers.
    pub token_rate: f64,
    /// Service of each workspace.
    pub workspaces: BTreeMap<String, Service>,
    /// Tokens per second in each window.
    pub token_rates: Vec<f64>,
}

/// Collects measures.
#[derive(Debug)]
pub struct Recorder {
    clients: Vec<Client>,
    engines: usize,
    /// Offered and served amounts by window and client.
    offered: Vec<Vec<f64>>,
    served: Vec<Vec<f64>>,
    shares: Shares,
    failed: Vec<u64>,
    firsts: Vec<u64>,
    blocks: (u64, u64),
    attempts: (u64, u64),
    spreads: Vec<f64>,
    ages: Vec<u64>,
    idle: Duration,
    trainer: Duration,
    steps: u64,
}

impl Recorder {
    /// Creates an empty record of a run.
    pub fn new(deployment: &Deployment, end: Time) -> Self {
        // A run has at most some thousand windows.
        let windows = usize::try_from(end.0.div_ceil(WINDOW)).unwrap_or(1);
        let clients = deployment.clients.clone();
        let empty = vec![vec![0.0; clients.len()]; windows];
        Self {
            shares: Shares::new(clients.len()),
            failed: vec![0; clients.len()],
            clients,
            engines: deployment.engines,
            offered: empty.clone(),
            served: empty,
            firsts: vec![],
            blocks: (0, 0),
            attempts: (0, 0),
            spreads: vec![],
            ages: vec![],
            idle: Duration::ZERO,
            trainer: Duration::ZERO,
            steps: 0,
        }
    }

    /// Notes that a client asks for an amount.
    pub fn offer(&mut self, now: Time, client: usize, amount: u64) {
        add(&mut self.offered, now, client, amount);
    }

    /// Notes a whole answer.
    pub fn serve(&mut self, now: Time, client: usize, amount: u64) {
        add(&mut self.served, now, client, amount);
    }

    /// Notes a request that ended without a whole answer.
    pub fn fail(&mut self, client: usize) {
        self.failed[client] += 1;
    }

    /// Notes which slots each workspace of a pool uses and could use during an interval.
    pub fn claims(&mut self, claims: &[(usize, Claim)], interval: Duration) {
        self.shares.sample(claims, interval.as_secs_f64());
    }

    /// Notes slot time of an attempt without a whole answer.
    pub fn waste(&mut self, client: usize, time: Duration) {
        self.shares.waste(client, time);
    }

    /// Notes the time to a first token and how much of the prompt was cached.
    pub fn first(&mut self, since: Duration, hits: usize, blocks: usize) {
        self.firsts
            .push(u64::try_from(since.as_millis()).unwrap_or(u64::MAX));
        self.blocks.0 += hits as u64;
        self.blocks.1 += blocks as u64;
    }

    /// Notes an attempt.
    pub fn attempt(&mut self, first: bool) {
        self.attempts.0 += u64::from(first);
        self.attempts.1 += 1;
    }

    /// Notes the loads of the engines that work.
    pub fn loads(&mut self, loads: &[u32]) {
        let mean = mean(loads.iter().map(|load| f64::from(*load)));
        if mean > 0.0 {
            let squares = loads.iter().map(|load| (f64::from(*load) - mean).powi(2));
            let variance = self::mean(squares);
            self.spreads.push(variance.sqrt() / mean);
        }
    }

    /// Notes the ages of the samples of a whole step.
    pub fn step(&mut self, ages: impl Iterator<Item = u64>) {
        self.steps += 1;
        self.ages.extend(ages);
    }

    /// Notes time of a trainer and how much of it the trainer waited.
    pub fn trainer(&mut self, idle: Duration, all: Duration) {
        self.idle += idle;
        self.trainer += all;
    }

    /// Computes the measures.
    pub fn summary(mut self, end: Time) -> Summary {
        let workspaces = self.services();
        let worst = workspaces
            .iter()
            .min_by(|a, b| a.1.ratio.total_cmp(&b.1.ratio));
        let rates = self.token_rates(end);
        let seconds = Duration::from_millis(end.0).as_secs_f64();
        let models = (0..self.clients.len()).filter(|c| !self.is_plain(*c));
        let tokens: f64 = models.map(|c| column(&self.served, c)).sum();
        self.firsts.sort_unstable();
        Summary {
            trainer_idle: self.idle.as_secs_f64() / self.trainer.as_secs_f64().max(1.0),
            steps: self.steps,
            staleness_mean: mean(self.ages.iter().map(|age| float(*age))),
            staleness_max: self.ages.iter().copied().max().unwrap_or(0),
            worst_share: worst.map_or(1.0, |(_, service)| service.ratio),
            worst_workspace: worst.map_or(String::new(), |(name, _)| name.clone()),
            target_cost: float(self.engines as u64) * seconds / (tokens / 1000.0).max(1.0),
            usage_reports: "not modelled",
            prefix_hits: float(self.blocks.0) / float(self.blocks.1.max(1)),
            first_median: quantile(&self.firsts, 50),
            first_99th: quantile(&self.firsts, 99),
            load_spread: mean(self.spreads.iter().copied()),
            amplification: float(self.attempts.1) / float(self.attempts.0.max(1)),
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
            let begin = window as u64 * WINDOW;
            let length = WINDOW.min(end.0.saturating_sub(begin)).max(1);
            tokens / Duration::from_millis(length).as_secs_f64()
        };
        self.served.iter().enumerate().map(rate).collect()
    }

    fn is_plain(&self, client: usize) -> bool {
        self.clients[client].demand == Demand::Plain
    }
}

fn add(rows: &mut [Vec<f64>], now: Time, client: usize, amount: u64) {
    let window = usize::try_from(now.0 / WINDOW).unwrap_or(usize::MAX);
    if let Some(row) = rows.get_mut(window) {
        row[client] += float(amount);
    }
}

fn column(rows: &[Vec<f64>], client: usize) -> f64 {
    rows.iter().map(|row| row[client]).sum()
}

fn quantile(sorted: &[u64], percent: usize) -> u64 {
    let at = sorted.len() * percent / 100;
    sorted.get(at).copied().unwrap_or(0)
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), v| (sum + v, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Converts a count. Counts of a run are far below the limit of exact integers.
#[allow(clippy::cast_precision_loss)]
fn float(count: u64) -> f64 {
    count as f64
}
