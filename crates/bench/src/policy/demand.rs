//! Offered load of each client.

use sardinepath_core::domain::declare::TargetKind;

use crate::policy::Settings;
use crate::policy::deployment::ClientKind;
use crate::policy::target::engine_peak_rate;
use crate::policy::target::plain_peak_rate;

/// Ratio of the load that the greedy workspace offers to its share of the pool.
const GREEDY_FACTOR: f64 = 10.0;

/// Returns the load that a client offers, in tokens or plain calls per second.
pub fn offered_load(settings: &Settings, number: usize) -> f64 {
    let deployment = &settings.deployment;
    let client = &deployment.clients[number];
    let pool_clients: Vec<_> = deployment
        .clients
        .iter()
        .filter(|other| other.target_kind() == client.target_kind())
        .collect();
    let total_share: u32 = pool_clients.iter().map(|other| other.share).sum();
    let share = f64::from(client.share) / f64::from(total_share);
    let greedy_client = deployment
        .clients
        .iter()
        .rposition(|other| other.kind == ClientKind::Calls);
    let greedy_share = greedy_client.map_or(0.0, |index| {
        f64::from(deployment.clients[index].share) / f64::from(total_share)
    });
    let capacity = match client.target_kind() {
        TargetKind::Model => f64::from(to_u32(deployment.engines)) * engine_peak_rate(),
        TargetKind::Plain => {
            return share
                * settings.level
                * f64::from(to_u32(deployment.services))
                * plain_peak_rate();
        }
    };
    let load = match (settings.greedy, greedy_client == Some(number)) {
        (false, _) => share * settings.level,
        (true, true) => share * GREEDY_FACTOR,
        // The other workspaces divide the rest of the load by their shares.
        (true, false) => {
            (settings.level - greedy_share * GREEDY_FACTOR) * share / (1.0 - greedy_share)
        }
    };
    load.max(0.0) * capacity
}

fn to_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
