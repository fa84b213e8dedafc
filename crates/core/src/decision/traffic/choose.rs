//! Load balancing: chooses a target for a request.

use rand::Rng;
use rand::RngExt;
use slotmap::SlotMap;

use crate::decision::traffic::AdmissionRequest;
use crate::decision::traffic::Choice;
use crate::decision::traffic::members::Member;
use crate::decision::traffic::target::Target;
use crate::decision::traffic::target::TargetKey;
use crate::domain::time::Time;

/// Reduction of the cost of a target that has the whole prompt cached, in units of a full load.
/// With half a load a frequent prefix does not fill its target while another one is idle.
const PREFIX_BONUS: f64 = 0.5;

/// Cost of a target in another data centre, in units of a full load. The one-way latency of
/// 1.5 ms is small beside the duration of an answer, so it decides only between similar loads.
const REMOTE_COST: f64 = 0.1;

/// Divisor of a target's limit that gives the number of requests by which its load may exceed the
/// limit. They wait at the target for slots that other entries give up.
const OVERCOMMIT_DIVISOR: u32 = 4;

/// State of a pool at the time of a choice.
pub(super) struct PoolView<'a> {
    pub(super) now: Time,
    pub(super) members: &'a [Member],
    pub(super) targets: &'a SlotMap<TargetKey, Target>,
    pub(super) fill_limit: FillLimit,
}

/// Bound on the requests that an entry sends to each target of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FillLimit {
    /// The target's limit, counting the requests of all entries.
    Capacity,
    /// A fraction of the target's limit for the requests of this entry; the rest belongs to other
    /// entries.
    Fraction(f64),
}

/// Reason for which no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoChoice {
    /// No target of the pool is serving with recent enough weights.
    NoTarget,
    /// All serving targets are full or ejected.
    AllFull,
}

impl FillLimit {
    /// Returns the current and the maximum load of a target, or `None` if it is full.
    fn load_and_limit(self, target: &Target, now: Time) -> Option<(u32, u32)> {
        let (load, limit) = (target.load(), target.limit(now));
        match self {
            Self::Capacity => (load < limit).then_some((load, limit)),
            Self::Fraction(fraction) => {
                // Rounded up, so that an entry with a small fraction can use the target at all.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let own_limit = ((f64::from(limit) * fraction).ceil() as u32).max(1);
                let own = target.own_running();
                let overcommit_limit = limit + (limit / OVERCOMMIT_DIVISOR).max(1);
                (own < own_limit && load < overcommit_limit).then_some((own, own_limit))
            }
        }
    }
}

/// Best target found so far.
#[derive(Clone, Copy)]
struct Candidate {
    repeated: bool,
    cost: f64,
    member: usize,
    /// Number of targets with this cost so far, this one included.
    ties: u32,
}

/// Returns the target with the lowest cost, which combines relative load, distance and cached
/// prefix.
///
/// Targets in `tried` are used only if no other target has a free slot. Ties are broken at random,
/// so that entries with the same view do not all choose the same target. Ejected targets are left
/// out unless more than half of the serving ones are ejected: a common cause is then likelier than
/// that many faulty targets, and ejection would overload the others.
pub(super) fn choose(
    view: &PoolView<'_>,
    request: &AdmissionRequest,
    tried: &[TargetKey],
    random: &mut impl Rng,
) -> Result<(TargetKey, Choice), NoChoice> {
    let (mut healthy, mut any) = (None, None);
    let (mut serving, mut ejected, mut fresh_enough) = (0, 0, false);
    for (number, member) in view.members.iter().enumerate() {
        let Some(target) = view.targets.get(member.target) else {
            continue;
        };
        if !target.is_serving(view.now) {
            continue;
        }
        serving += 1;
        let is_ejected = target.is_ejected(view.now);
        ejected += usize::from(is_ejected);
        if has_old_weights(target, view.now, request) {
            continue;
        }
        fresh_enough = true;
        let Some((load, limit)) = view.fill_limit.load_and_limit(target, view.now) else {
            continue;
        };
        let base = base_cost(load, limit, member.remote);
        let repeated = tried.contains(&member.target);
        if !is_ejected {
            update_best(
                &mut healthy,
                (repeated, base, number),
                target,
                request,
                random,
            );
        }
        update_best(&mut any, (repeated, base, number), target, request, random);
    }
    let ignore_ejection = ejected * 2 > serving;
    match if ignore_ejection { any } else { healthy } {
        Some(best) => chosen_target(view, &view.members[best.member]),
        None if fresh_enough => Err(NoChoice::AllFull),
        None => Err(NoChoice::NoTarget),
    }
}

/// Replaces the best target if the given one has a lower cost.
fn update_best(
    best: &mut Option<Candidate>,
    (repeated, base, member): (bool, f64, usize),
    target: &Target,
    request: &AdmissionRequest,
    random: &mut impl Rng,
) {
    // The prefix lookup is the most expensive step, so targets that cannot win skip it.
    let bound = (repeated, base - PREFIX_BONUS);
    if best.is_some_and(|old| bound > (old.repeated, old.cost)) {
        return;
    }
    let cost = base - PREFIX_BONUS * cached_fraction(target, request);
    let ties = match best {
        Some(old) if (repeated, cost) > (old.repeated, old.cost) => return,
        Some(old) if (repeated, cost) == (old.repeated, old.cost) => {
            old.ties += 1;
            // Reservoir sampling: each tied target is kept with the same probability.
            if random.random_range(0..old.ties) != 0 {
                return;
            }
            old.ties
        }
        _ => 1,
    };
    *best = Some(Candidate {
        repeated,
        cost,
        member,
        ties,
    });
}

/// Returns the key and the address of a member of the pool.
fn chosen_target(view: &PoolView<'_>, member: &Member) -> Result<(TargetKey, Choice), NoChoice> {
    let target = view.targets.get(member.target).ok_or(NoChoice::NoTarget)?;
    let choice = Choice {
        target: member.name.clone(),
        agent: member.agent,
        valid_until: target.valid_until(),
    };
    Ok((member.target, choice))
}

/// Returns the cost of a target before the prefix bonus, in units of a full load.
fn base_cost(load: u32, limit: u32, remote: bool) -> f64 {
    let distance = if remote { REMOTE_COST } else { 0.0 };
    f64::from(load) / f64::from(limit) + distance
}

/// Returns the fraction of the prompt that the target has cached.
fn cached_fraction(target: &Target, request: &AdmissionRequest) -> f64 {
    match request.prefixes.len() {
        0 => 0.0,
        // Prompts have at most a few thousand blocks.
        #[allow(clippy::cast_precision_loss)]
        all => target.cached_prefixes(&request.prefixes) as f64 / all as f64,
    }
}

/// Returns `true` if the target's weights are older than the request allows.
fn has_old_weights(target: &Target, now: Time, request: &AdmissionRequest) -> bool {
    target
        .fresh_report(now)
        .is_some_and(|report| report.version < request.min_version)
}
