//! Decides which targets of a data centre are started and stopped.

use crate::decision::config::Config;
use crate::domain::declare::PoolSpec;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::port::order::OrderAction;
use crate::port::order::TargetState;

/// Policy that decides which targets are started and stopped.
pub trait TargetPolicy: Send {
    /// Returns the orders that bring the targets of the data centre closer to the desired state.
    /// `states` must have been read after all earlier orders took effect.
    fn orders(
        &mut self,
        config: &Config,
        centre: &CentreName,
        states: &[TargetState],
    ) -> Vec<(TargetName, OrderAction)>;
}

/// Policy that keeps the minimum number of targets of each pool started in every data centre that
/// has targets of the pool. It stops no targets.
#[derive(Clone, Copy, Debug, Default)]
pub struct PoolFloorPolicy;

impl TargetPolicy for PoolFloorPolicy {
    fn orders(
        &mut self,
        config: &Config,
        centre: &CentreName,
        states: &[TargetState],
    ) -> Vec<(TargetName, OrderAction)> {
        let trees = config.teams().values().filter_map(|t| t.tree.as_deref());
        let pools = trees.flat_map(|tree| tree.pools.values());
        pools
            .flat_map(|pool| targets_to_start(pool, centre, states))
            .map(|target| (target, OrderAction::Start))
            .collect()
    }
}

/// Returns the stopped targets to start so that the pool reaches its floor, ordered by name.
fn targets_to_start(
    pool: &PoolSpec,
    centre: &CentreName,
    states: &[TargetState],
) -> Vec<TargetName> {
    let is_started = |name: &TargetName| states.iter().any(|s| s.target == *name && s.started);
    let in_centre = pool.targets.iter().filter(|(_, t)| t.centre == *centre);
    let (started, stopped): (Vec<_>, Vec<_>) =
        in_centre.map(|(name, _)| name).partition(|n| is_started(n));
    let floor = usize::try_from(pool.floor).unwrap_or(usize::MAX);
    let needed = floor.saturating_sub(started.len());
    stopped.into_iter().take(needed).cloned().collect()
}
