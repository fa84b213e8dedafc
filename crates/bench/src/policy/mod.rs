//! Simulation in virtual time of the scheduling policy of entries, with simple service-time models
//! of targets.

pub mod baseline;
mod claims;
pub mod demand;
pub mod deployment;
pub mod entries;
pub mod event;
pub mod fault;
mod inject;
pub mod job;
pub mod measure;
pub mod output;
pub mod plot;
pub mod port;
pub mod share;
pub mod simulation;
pub mod source;
pub mod target;
pub mod trainer;

use crate::policy::baseline::Baseline;
use crate::policy::deployment::Deployment;
use crate::policy::entries::Entries;
use crate::policy::fault::FaultKind;
use crate::policy::measure::Summary;
use crate::policy::port::Policy;
use crate::policy::simulation::Simulation;

/// Settings of a run. Equal settings give equal results.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Simulated deployment.
    pub deployment: Deployment,
    /// Ratio of offered load to the capacity of the targets.
    pub level: f64,
    /// Whether one workspace offers ten times its share.
    pub greedy: bool,
    /// Fault schedule of the run.
    pub fault: FaultKind,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Simulated time in minutes.
    pub minutes: u64,
}

/// Results of the policy of sardinepath and of the baseline under the same load.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Comparison {
    /// Name of the deployment.
    pub deployment: String,
    /// Ratio of offered load to capacity.
    pub level: f64,
    /// Fault schedule of the run.
    pub fault: FaultKind,
    /// Result of the policy of sardinepath.
    pub product: Summary,
    /// Result of the baseline.
    pub baseline: Summary,
}

/// Runs both policies with the same settings.
pub fn compare(settings: &Settings) -> Comparison {
    Comparison {
        deployment: settings.deployment.name.to_owned(),
        level: settings.level,
        fault: settings.fault,
        product: run(settings, Entries::new(settings)),
        baseline: run(settings, Baseline::new(settings)),
    }
}

/// Runs one policy to the end of the simulated time.
pub fn run(settings: &Settings, policy: impl Policy) -> Summary {
    Simulation::new(settings, policy).run()
}
