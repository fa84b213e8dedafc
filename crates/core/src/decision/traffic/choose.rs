//! Choice of a target.

use std::collections::HashMap;

use rand::Rng;
use rand::RngExt;

use crate::decision::traffic::Ask;
use crate::decision::traffic::Choice;
use crate::decision::traffic::target::Target;
use crate::domain::declare::PoolSpec;
use crate::domain::name::CentreName;
use crate::domain::name::TargetName;
use crate::domain::time::Time;

/// Gain of a prompt whose prefix is cached whole, in units of a target's full load. Half a load
/// keeps a hot prefix from overfilling its target while another is idle.
const PREFIX_GAIN: f64 = 0.5;

/// Price of another data centre in units of a target's full load. 1.5 ms one way is small beside
/// an answer's time, so it decides only between targets of like load.
const DISTANCE_PRICE: f64 = 0.1;

/// What the choice depends on beside the request.
pub(super) struct View<'a> {
    pub(super) now: Time,
    pub(super) pool: &'a PoolSpec,
    pub(super) targets: &'a HashMap<TargetName, Target>,
    pub(super) centre: &'a CentreName,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoChoice {
    /// No target of the pool serves.
    None,
    /// All targets that serve are full or ejected.
    Full,
}

/// Chooses the target with the lowest cost: relative load, distance, and cached prefix.
///
/// Targets in `tried` are chosen only if no other can take the request. Targets of equal cost
/// are drawn at random, so that entries with the same view do not all choose the same one.
pub(super) fn choose(
    view: &View<'_>,
    ask: &Ask,
    tried: &[TargetName],
    random: &mut impl Rng,
) -> Result<Choice, NoChoice> {
    let mut best: Option<(bool, f64, u32, Choice)> = None;
    let mut serving = false;
    let guard = guards_pool(view);
    for (name, spec) in &view.pool.targets {
        let Some(target) = view.targets.get(name) else {
            continue;
        };
        if !target.is_serving(view.now) || too_old(target, view.now, ask) {
            continue;
        }
        serving = true;
        let load = target.load();
        let limit = target.limit(view.now);
        if load >= limit || (target.is_ejected(view.now) && !guard) {
            continue;
        }
        let repeated = tried.contains(name);
        let cost = cost(target, ask, load, limit, *view.centre != spec.centre);
        let rank = (repeated, cost, random.random::<u32>());
        let worse = best
            .as_ref()
            .is_some_and(|(r, c, d, _)| rank >= (*r, *c, *d));
        if !worse {
            let choice = Choice {
                target: name.clone(),
                agent: spec.agent,
            };
            best = Some((rank.0, rank.1, rank.2, choice));
        }
    }
    match best {
        Some((.., choice)) => Ok(choice),
        None if serving => Err(NoChoice::Full),
        None => Err(NoChoice::None),
    }
}

/// Returns the cost of a target in units of a full load.
fn cost(target: &Target, ask: &Ask, load: u32, limit: u32, far: bool) -> f64 {
    let share = f64::from(load) / f64::from(limit);
    let hit = match ask.prefixes.len() {
        0 => 0.0,
        // Prompts have at most a few thousand blocks.
        #[allow(clippy::cast_precision_loss)]
        all => target.cached(&ask.prefixes) as f64 / all as f64,
    };
    let distance = if far { DISTANCE_PRICE } else { 0.0 };
    share + distance - PREFIX_GAIN * hit
}

/// Returns true if the target's weights are older than the request allows.
fn too_old(target: &Target, now: Time, ask: &Ask) -> bool {
    target
        .fresh(now)
        .is_some_and(|report| report.version < ask.floor)
}

/// Returns true if more than half of the serving targets are ejected. Then a common cause is
/// likelier than that many bad targets, and ejection would only overload the rest.
fn guards_pool(view: &View<'_>) -> bool {
    let serving = view
        .pool
        .targets
        .keys()
        .filter_map(|name| view.targets.get(name))
        .filter(|target| target.is_serving(view.now));
    let (mut all, mut ejected) = (0, 0);
    for target in serving {
        all += 1;
        ejected += usize::from(target.is_ejected(view.now));
    }
    ejected * 2 > all
}
