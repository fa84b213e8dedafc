//! Runs the decisions of entries in virtual time against simple service-time models of targets.

pub mod baseline;
mod claims;
pub mod demand;
pub mod deployment;
mod disturb;
pub mod entries;
pub mod event;
pub mod fault;
pub mod job;
pub mod measure;
pub mod output;
pub mod plot;
pub mod port;
pub mod share;
pub mod source;
pub mod target;
pub mod trainer;
pub mod world;

use crate::policy::baseline::Baseline;
use crate::policy::deployment::Deployment;
use crate::policy::entries::Entries;
use crate::policy::fault::FaultKind;
use crate::policy::measure::Summary;
use crate::policy::port::Policy;
use crate::policy::world::World;

/// What one run depends on. Equal settings give equal results.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The deployment.
    pub deployment: Deployment,
    /// Offered tokens over the capacity of the model pool.
    pub level: f64,
    /// True if one workspace offers ten times its share.
    pub greedy: bool,
    /// The fault schedule.
    pub fault: FaultKind,
    /// Seed of all random choices.
    pub seed: u64,
    /// Virtual minutes.
    pub minutes: u64,
}

/// The result of the product's policy and of the baseline under the same load.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Comparison {
    /// Name of the deployment.
    pub deployment: String,
    /// Offered tokens over capacity.
    pub level: f64,
    /// The fault schedule.
    pub fault: FaultKind,
    /// Result of the product's policy.
    pub product: Summary,
    /// Result of the baseline.
    pub baseline: Summary,
}

/// Runs both policies under one load.
pub fn compare(settings: &Settings) -> Comparison {
    Comparison {
        deployment: settings.deployment.name.to_owned(),
        level: settings.level,
        fault: settings.fault,
        product: run(settings, Entries::new(settings)),
        baseline: run(settings, Baseline::new(settings)),
    }
}

/// Runs one policy to the end of the virtual time.
pub fn run(settings: &Settings, policy: impl Policy) -> Summary {
    World::new(settings, policy).run()
}
