//! Choice of a target.

use rand::Rng;
use rand::RngExt;
use slotmap::SlotMap;

use crate::decision::traffic::Ask;
use crate::decision::traffic::Choice;
use crate::decision::traffic::members::Member;
use crate::decision::traffic::target::Target;
use crate::decision::traffic::target::TargetKey;
use crate::domain::time::Time;

/// Gain of a prompt whose prefix is cached whole, in units of a target's full load. Half a load
/// keeps a hot prefix from overfilling its target while another is idle.
const PREFIX_GAIN: f64 = 0.5;

/// Price of another data centre in units of a target's full load. 1.5 ms one way is small beside
/// an answer's time, so it decides only between targets of like load.
const DISTANCE_PRICE: f64 = 0.1;

/// One request in this many may wait at a target for a slot that another entry yields.
const DUE_PART: u32 = 4;

/// What the choice depends on beside the request.
pub(super) struct View<'a> {
    pub(super) now: Time,
    pub(super) members: &'a [Member],
    pub(super) targets: &'a SlotMap<TargetKey, Target>,
    pub(super) room: Room,
}

/// How far targets may be filled.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Room {
    /// Up to their limit, whoever uses it.
    Free,
    /// Up to this part of the limit with requests of this entry. Other entries have the rest.
    Part(f64),
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoChoice {
    /// No target of the pool serves.
    None,
    /// All targets that serve are full or ejected.
    Full,
}

impl Room {
    /// Returns the load of a target and the load that it may have, unless it is full.
    fn on(self, target: &Target, now: Time) -> Option<(u32, u32)> {
        let (load, limit) = (target.load(), target.limit(now));
        match self {
            Self::Free => (load < limit).then_some((load, limit)),
            Self::Part(part) => {
                // Part of a limit, rounded up so that small parts can be used.
                #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
                let own_limit = ((f64::from(limit) * part).ceil() as u32).max(1);
                let own = target.own();
                let most = limit + (limit / DUE_PART).max(1);
                (own < own_limit && load < most).then_some((own, own_limit))
            }
        }
    }
}

/// The best target so far.
#[derive(Clone, Copy)]
struct Best {
    repeated: bool,
    cost: f64,
    member: usize,
    /// Members of this rank so far.
    equals: u32,
}

/// Chooses the target with the lowest cost: relative load, distance, and cached prefix.
///
/// Targets in `tried` are chosen only if no other can take the request. Targets of equal cost
/// are drawn at random, so that entries with the same view do not all choose the same one.
/// Ejected targets are left out unless more than half of those that serve are ejected. Then a
/// common cause is likelier than that many bad targets, and ejection would only overload the rest.
pub(super) fn choose(
    view: &View<'_>,
    ask: &Ask,
    tried: &[TargetKey],
    random: &mut impl Rng,
) -> Result<(TargetKey, Choice), NoChoice> {
    let (mut good, mut any) = (None, None);
    let (mut serving, mut ejected, mut fit) = (0, 0, false);
    for (number, member) in view.members.iter().enumerate() {
        let Some(target) = view.targets.get(member.target) else {
            continue;
        };
        if !target.is_serving(view.now) {
            continue;
        }
        serving += 1;
        let out = target.is_ejected(view.now);
        ejected += usize::from(out);
        if too_old(target, view.now, ask) {
            continue;
        }
        fit = true;
        let Some((load, limit)) = view.room.on(target, view.now) else {
            continue;
        };
        let base = base_cost(load, limit, member.far);
        let repeated = tried.contains(&member.target);
        if !out {
            improve(&mut good, (repeated, base, number), target, ask, random);
        }
        improve(&mut any, (repeated, base, number), target, ask, random);
    }
    let guard = ejected * 2 > serving;
    match if guard { any } else { good } {
        Some(best) => chosen(view, &view.members[best.member]),
        None if fit => Err(NoChoice::Full),
        None => Err(NoChoice::None),
    }
}

/// Replaces the best target by a better one.
fn improve(
    best: &mut Option<Best>,
    (repeated, base, member): (bool, f64, usize),
    target: &Target,
    ask: &Ask,
    random: &mut impl Rng,
) {
    // The look-up of prefixes is the dearest step, so targets that cannot win skip it.
    let bound = (repeated, base - PREFIX_GAIN);
    if best.is_some_and(|old| bound > (old.repeated, old.cost)) {
        return;
    }
    let cost = base - PREFIX_GAIN * hit(target, ask);
    let equals = match best {
        Some(old) if (repeated, cost) > (old.repeated, old.cost) => return,
        Some(old) if (repeated, cost) == (old.repeated, old.cost) => {
            old.equals += 1;
            // Each of the equals is kept with the same probability.
            if random.random_range(0..old.equals) != 0 {
                return;
            }
            old.equals
        }
        _ => 1,
    };
    *best = Some(Best {
        repeated,
        cost,
        member,
        equals,
    });
}

fn chosen(view: &View<'_>, member: &Member) -> Result<(TargetKey, Choice), NoChoice> {
    let target = view.targets.get(member.target).ok_or(NoChoice::None)?;
    let choice = Choice {
        target: member.name.clone(),
        agent: member.agent,
        until: target.fresh_until(),
    };
    Ok((member.target, choice))
}

/// Returns the cost of a target without its cached prefix, in units of a full load.
fn base_cost(load: u32, limit: u32, far: bool) -> f64 {
    let distance = if far { DISTANCE_PRICE } else { 0.0 };
    f64::from(load) / f64::from(limit) + distance
}

/// Returns the part of the prompt that the target has cached.
fn hit(target: &Target, ask: &Ask) -> f64 {
    match ask.prefixes.len() {
        0 => 0.0,
        // Prompts have at most a few thousand blocks.
        #[allow(clippy::cast_precision_loss)]
        all => target.cached(&ask.prefixes) as f64 / all as f64,
    }
}

/// Returns true if the target's weights are older than the request allows.
fn too_old(target: &Target, now: Time, ask: &Ask) -> bool {
    target
        .fresh(now)
        .is_some_and(|report| report.version < ask.floor)
}
