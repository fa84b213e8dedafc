//! Which targets of a data centre should run.

use crate::decision::config::Config;
use crate::domain::declare::PoolSpec;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::port::order::OrderAction;
use crate::port::order::TargetState;

/// Decides which targets are started and stopped.
pub trait Want: Send {
    /// Returns the orders that bring the targets of the data centre closer to what is wanted.
    /// `states` was read after all earlier orders had taken effect.
    fn orders(
        &mut self,
        config: &Config,
        centre: &CentreName,
        states: &[TargetState],
    ) -> Vec<(TargetName, OrderAction)>;
}

/// Keeps the floor of each pool started, in each data centre that has targets of the pool. Stops
/// nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Floor;

impl Want for Floor {
    fn orders(
        &mut self,
        config: &Config,
        centre: &CentreName,
        states: &[TargetState],
    ) -> Vec<(TargetName, OrderAction)> {
        let trees = config.teams().values().filter_map(|t| t.tree.as_deref());
        let pools = trees.flat_map(|tree| tree.pools.values());
        pools
            .flat_map(|pool| missing(pool, centre, states))
            .map(|target| (target, OrderAction::Start))
            .collect()
    }
}

/// Returns the stopped targets that are needed to reach the floor, in the order of their names.
fn missing(pool: &PoolSpec, centre: &CentreName, states: &[TargetState]) -> Vec<TargetName> {
    let runs = |name: &TargetName| states.iter().any(|s| s.target == *name && s.started);
    let own = pool.targets.iter().filter(|(_, t)| t.centre == *centre);
    let (started, stopped): (Vec<_>, Vec<_>) = own.map(|(name, _)| name).partition(|n| runs(n));
    let floor = usize::try_from(pool.floor).unwrap_or(usize::MAX);
    let needed = floor.saturating_sub(started.len());
    stopped.into_iter().take(needed).cloned().collect()
}
