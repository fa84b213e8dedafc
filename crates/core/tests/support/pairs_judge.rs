//! Judges a finished run by the target logs and by what the callers got.

use std::collections::HashSet;

use sardinepath_core::domain::error::RunState;

use crate::support::pairs::World;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fixture;

/// Time after a withdrawal or a leave in which work may still start, in milliseconds. A message
/// can be late by 3.9 s, and a report counts for 4 s.
const BOUND: u64 = 5_000;

type Verdict = Result<(), String>;

/// Judges a run. Returns the first promise that was broken.
pub fn judge(world: &World) -> Verdict {
    runs_for_its_workspace(world)?;
    no_run_after_withdrawal(world)?;
    no_check_by_old_keys(world)?;
    callers_get_their_answers(world)?;
    not_run_is_true(world)?;
    runs_at_most_once(world)?;
    no_work_for_leaving_targets(world)?;
    every_request_ends(world)?;
    nothing_leaks(world)?;
    configuration_never_reverts(world)
}

/// P4.
fn runs_for_its_workspace(world: &World) -> Verdict {
    let fits = |run: &&_| {
        let run: &crate::support::pairs::Run = run;
        run.workspace == pairs_fixture::workspace(world.callers[run.request].workspace)
    };
    none(
        world.log.iter().find(|run| !fits(run)),
        "P4: wrong workspace",
    )
}

/// P6.
fn no_run_after_withdrawal(world: &World) -> Verdict {
    let late = world.log.iter().find(|run| {
        let workspace = world.callers[run.request].workspace;
        let withdrawn = world.seen.withdrawn.get(workspace);
        withdrawn.is_some_and(|at| run.at > at + BOUND)
    });
    none(late, "P6: a run after the key was withdrawn")
}

/// P6 for an entry that did not hear of the withdrawal, for example because it was paused.
fn no_check_by_old_keys(world: &World) -> Verdict {
    let late = world.seen.entered.iter().find(|(at, workspace)| {
        let accepted = world.seen.accepted.get(workspace);
        accepted.is_some_and(|accepted| *at > accepted + BOUND)
    });
    none(late, "P6: a withdrawn key passed the check")
}

/// P9.
fn callers_get_their_answers(world: &World) -> Verdict {
    for (request, caller) in world.callers.iter().enumerate() {
        let own = pairs_fixture::whole(request);
        if !own.starts_with(&caller.bytes) {
            return Err(format!("P9: request {request} got {:?}", caller.bytes));
        }
        if caller.whole && caller.bytes != own {
            return Err(format!("P9: request {request} got a part as the whole"));
        }
    }
    Ok(())
}

/// P10.
fn not_run_is_true(world: &World) -> Verdict {
    let ran: HashSet<_> = world.log.iter().map(|run| run.request).collect();
    let wrong = world.callers.iter().enumerate().find(|(request, caller)| {
        let told = caller.failure.is_some_and(|f| f.run == RunState::NotRun);
        told && ran.contains(request)
    });
    none(wrong, "P10: told not run")
}

/// P11.
fn runs_at_most_once(world: &World) -> Verdict {
    let mut ran = HashSet::new();
    let once = world
        .log
        .iter()
        .filter(|run| !world.callers[run.request].idempotent);
    let twice = once.clone().find(|run| !ran.insert(run.request));
    none(twice, "P11: ran twice")
}

/// P12.
fn no_work_for_leaving_targets(world: &World) -> Verdict {
    none(
        world.log.iter().find(|run| run.left),
        "P12: a run after the leave",
    )?;
    no_late_dispatch(world)
}

/// P12 at the entry: no dispatch to a target later than the bound after its leave, also after a
/// pause of the entry.
pub fn no_late_dispatch(world: &World) -> Verdict {
    let late = world.seen.dispatched.iter().find(|(at, agent)| {
        let left = world.seen.left.get(agent);
        left.is_some_and(|left| *at > *left + BOUND)
    });
    none(late, "P12: a dispatch after the leave")
}

/// P13, and that no request hangs without a drain.
fn every_request_ends(world: &World) -> Verdict {
    let open = world.callers.iter().enumerate().find(|(request, caller)| {
        let ended = caller.whole != caller.failure.is_some();
        let done = matches!(world.tasks[*request], Task::Done | Task::Idle);
        !(caller.gone || ended && done)
    });
    none(open, "P13: no end")
}

fn nothing_leaks(world: &World) -> Verdict {
    let entry = &world.entry;
    if entry.traffic.open() + entry.traffic.waiting() + entry.verdicts.len() > 0 {
        let (open, waiting) = (entry.traffic.open(), entry.traffic.waiting());
        return Err(format!("leak: {open} tickets open, {waiting} waiting"));
    }
    let busy = world.agents.iter().find(|a| a.state.running() > 0);
    none(busy.map(|agent| agent.number), "leak: running count")
}

/// P14, as far as one entry decides it.
fn configuration_never_reverts(world: &World) -> Verdict {
    let steps = world.seen.revisions.windows(2);
    let back = steps
        .into_iter()
        .find(|step| step[0].0 == step[1].0 && step[0].1 > step[1].1);
    none(back, "P14: the configuration went back")
}

fn none<T: std::fmt::Debug>(found: Option<T>, broken: &str) -> Verdict {
    found.map_or(Ok(()), |found| Err(format!("{broken}: {found:?}")))
}
