//! Checks of a finished run against the promises, by the executions at targets and the answers to
//! callers.

use std::collections::HashSet;

use sardinepath_core::domain::error::RunState;

use crate::support::pairs::Simulation;
use crate::support::pairs_entry::Task;
use crate::support::pairs_fixture;

/// Time after a withdrawal or a leave within which work may still start, in milliseconds. A message
/// can be late by 3.9 s, and the entry relies on a report for 4 s.
const MAX_REACTION_TIME: u64 = 5_000;

type Verdict = Result<(), String>;

/// Checks a run and returns the first promise that was broken.
pub fn judge(simulation: &Simulation) -> Verdict {
    runs_for_its_workspace(simulation)?;
    no_run_after_withdrawal(simulation)?;
    no_check_by_old_keys(simulation)?;
    callers_get_their_answers(simulation)?;
    not_run_is_true(simulation)?;
    runs_at_most_once(simulation)?;
    no_work_for_leaving_targets(simulation)?;
    every_request_ends(simulation)?;
    nothing_leaks(simulation)?;
    configuration_never_reverts(simulation)
}

/// P4: each execution is for the workspace of its caller.
fn runs_for_its_workspace(simulation: &Simulation) -> Verdict {
    let is_own = |run: &&_| {
        let run: &crate::support::pairs::Execution = run;
        run.workspace == pairs_fixture::workspace_id(simulation.callers[run.request].workspace)
    };
    expect_none(
        simulation.executions.iter().find(|run| !is_own(run)),
        "P4: a run for the wrong workspace",
    )
}

/// P6: no execution starts later than the bound after the entry applied the withdrawal of the key.
fn no_run_after_withdrawal(simulation: &Simulation) -> Verdict {
    let late = simulation.executions.iter().find(|run| {
        let workspace = simulation.callers[run.request].workspace;
        let withdrawn = simulation.observed.applied_withdrawals.get(workspace);
        withdrawn.is_some_and(|at| run.at > at + MAX_REACTION_TIME)
    });
    expect_none(late, "P6: a run after the key was withdrawn")
}

/// P6: no key is accepted later than the bound after the platform accepted its withdrawal, also by
/// an entry that does not know of it, for example because it was paused.
fn no_check_by_old_keys(simulation: &Simulation) -> Verdict {
    let late = simulation
        .observed
        .authorized
        .iter()
        .find(|(at, workspace)| {
            let accepted = simulation.observed.accepted_withdrawals.get(workspace);
            accepted.is_some_and(|accepted| *at > accepted + MAX_REACTION_TIME)
        });
    expect_none(late, "P6: a withdrawn key passed the check")
}

/// P9: each caller receives the start of its own answer, and an answer that ended as complete
/// contains all its parts.
fn callers_get_their_answers(simulation: &Simulation) -> Verdict {
    for (request, caller) in simulation.callers.iter().enumerate() {
        let own = pairs_fixture::whole_answer(request);
        if !own.starts_with(&caller.bytes) {
            return Err(format!("P9: request {request} received {:?}", caller.bytes));
        }
        if caller.complete && caller.bytes != own {
            return Err(format!(
                "P9: request {request} received an incomplete answer as complete"
            ));
        }
    }
    Ok(())
}

/// P10: a request whose failure says that it was not run was not executed.
fn not_run_is_true(simulation: &Simulation) -> Verdict {
    let ran: HashSet<_> = simulation
        .executions
        .iter()
        .map(|run| run.request)
        .collect();
    let wrong = simulation
        .callers
        .iter()
        .enumerate()
        .find(|(request, caller)| {
            let says_not_run = caller.failure.is_some_and(|f| f.run == RunState::NotRun);
            says_not_run && ran.contains(request)
        });
    expect_none(wrong, "P10: the failure says not run, but the request ran")
}

/// P11: a request that is not idempotent is executed at most once.
fn runs_at_most_once(simulation: &Simulation) -> Verdict {
    let mut ran = HashSet::new();
    let once = simulation
        .executions
        .iter()
        .filter(|run| !simulation.callers[run.request].idempotent);
    let twice = once.clone().find(|run| !ran.insert(run.request));
    expect_none(twice, "P11: a non-idempotent request ran twice")
}

/// P12: no execution starts at a target that has left.
fn no_work_for_leaving_targets(simulation: &Simulation) -> Verdict {
    expect_none(
        simulation.executions.iter().find(|run| run.left),
        "P12: a run at a target that had left",
    )?;
    no_late_dispatch(simulation)
}

/// P12 at the entry: no attempt is sent to a target later than the bound after it left, also after
/// a pause of the entry.
pub fn no_late_dispatch(simulation: &Simulation) -> Verdict {
    let late = simulation.observed.dispatches.iter().find(|(at, agent)| {
        let left = simulation.observed.departures.get(agent);
        left.is_some_and(|left| *at > *left + MAX_REACTION_TIME)
    });
    expect_none(late, "P12: an attempt sent to a target that had left")
}

/// P13: every request ends with either an answer or a failure, also without a drain.
fn every_request_ends(simulation: &Simulation) -> Verdict {
    let open = simulation
        .callers
        .iter()
        .enumerate()
        .find(|(request, caller)| {
            let ended = caller.complete != caller.failure.is_some();
            let done = matches!(simulation.tasks[*request], Task::Done | Task::NotArrived);
            !(caller.disconnected || ended && done)
        });
    expect_none(open, "P13: a request did not end")
}

/// No ticket or running count is left at the end.
fn nothing_leaks(simulation: &Simulation) -> Verdict {
    let entry = &simulation.entry;
    if entry.traffic.open() + entry.traffic.waiting() + entry.tickets.len() > 0 {
        let (open, waiting) = (entry.traffic.open(), entry.traffic.waiting());
        return Err(format!(
            "leak: {open} open tickets, {waiting} waiting requests"
        ));
    }
    let busy = simulation.agents.iter().find(|a| a.state.running() > 0);
    expect_none(
        busy.map(|agent| agent.number),
        "leak: an agent still counts running requests",
    )
}

/// P14, as far as one entry decides it: the revision in use never decreases.
fn configuration_never_reverts(simulation: &Simulation) -> Verdict {
    let steps = simulation.observed.revisions.windows(2);
    let decrease = steps
        .into_iter()
        .find(|step| step[0].0 == step[1].0 && step[0].1 > step[1].1);
    expect_none(decrease, "P14: the revision of the configuration decreased")
}

/// Returns an error if a violation was found.
fn expect_none<T: std::fmt::Debug>(found: Option<T>, broken: &str) -> Verdict {
    found.map_or(Ok(()), |found| Err(format!("{broken}: {found:?}")))
}
