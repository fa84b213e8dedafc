//! Offered load of each client.

use sardinepath_core::domain::declare::TargetKind;

use crate::policy::Settings;
use crate::policy::deployment::Demand;
use crate::policy::target::engine_peak;
use crate::policy::target::plain_peak;

/// Share of the pool offered by the greedy workspace, over its own share.
const GREED: f64 = 10.0;

/// Returns the tokens (or plain calls) per second that a client offers.
pub fn offered(settings: &Settings, number: usize) -> f64 {
    let deployment = &settings.deployment;
    let client = &deployment.clients[number];
    let same: Vec<_> = deployment
        .clients
        .iter()
        .filter(|other| other.kind() == client.kind())
        .collect();
    let all: u32 = same.iter().map(|other| other.share).sum();
    let share = f64::from(client.share) / f64::from(all);
    let greedy = deployment
        .clients
        .iter()
        .rposition(|other| other.demand == Demand::Calls);
    let extreme = greedy.map_or(0.0, |at| {
        f64::from(deployment.clients[at].share) / f64::from(all)
    });
    let capacity = match client.kind() {
        TargetKind::Model => f64::from(count(deployment.engines)) * engine_peak(),
        TargetKind::Plain => {
            return share * settings.level * f64::from(count(deployment.plains)) * plain_peak();
        }
    };
    let part = match (settings.greedy, greedy == Some(number)) {
        (false, _) => share * settings.level,
        (true, true) => share * GREED,
        // The other workspaces offer the rest of the load by their shares.
        (true, false) => (settings.level - extreme * GREED) * share / (1.0 - extreme),
    };
    part.max(0.0) * capacity
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
