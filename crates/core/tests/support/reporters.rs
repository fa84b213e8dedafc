//! Two implementations of usage reporting, each a process that makes one call per step.

use std::sync::Arc;

use sardinepath_core::decision::usage::Closing;
use sardinepath_core::decision::usage::Counters;
use sardinepath_core::decision::usage::Frozen;
use sardinepath_core::decision::usage::Open;
use sardinepath_core::decision::usage::OpenStep;
use sardinepath_core::decision::usage::Outcome;
use sardinepath_core::decision::usage::Reported;
use sardinepath_core::decision::usage::Window;
use sardinepath_core::decision::usage::WindowRecord;
use sardinepath_core::decision::usage::WindowWrite;
use sardinepath_core::decision::usage::history;
use sardinepath_core::decision::usage::origin;
use sardinepath_core::decision::usage::prefix;
use sardinepath_core::decision::usage::resume;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::object::Precondition;
use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsageReport;

use crate::support::CallOutcome;
use crate::support::usage::Simulation;
use crate::support::usage::workspace;

pub trait Reporter {
    fn start() -> Self;
    fn step(&mut self, sim: &mut Simulation, outcome: CallOutcome, reach: [bool; 4]);
}

/// Freezes each window before it reports it.
pub struct Outbox {
    unreported: Vec<Window<Frozen>>,
    phase: Phase,
}

enum Phase {
    Start,
    Open(Window<Open>),
    LookedUp(Window<Open>, Counters),
    Close(Window<Open>, WindowWrite),
    ReadBack(Window<Open>, Arc<str>),
    Mark(Window<Open>, Window<Reported>),
}

fn put(
    sim: &mut Simulation,
    write: &WindowWrite,
    outcome: CallOutcome,
) -> Result<Revision, ObjectError> {
    sim.store
        .put(&write.path, &write.record, write.expect, outcome)
}

fn records(sim: &Simulation) -> Vec<(Revision, WindowRecord)> {
    sim.store.list(&prefix(&workspace()))
}

impl Reporter for Outbox {
    fn start() -> Self {
        Self {
            unreported: vec![],
            phase: Phase::Start,
        }
    }

    fn step(&mut self, sim: &mut Simulation, outcome: CallOutcome, reach: [bool; 4]) {
        let phase = std::mem::replace(&mut self.phase, Phase::Start);
        self.phase = match phase {
            Phase::Start => self.take_over(sim, outcome),
            Phase::Open(open) => self.open(open, sim, outcome, reach),
            Phase::LookedUp(open, all) => {
                let OpenStep::Freeze(write) = open.close(&sim.collect(reach), Some(&all)) else {
                    panic!("looked up twice")
                };
                Phase::Close(open, write)
            }
            Phase::Close(open, write) => {
                let answer = put(sim, &write, outcome);
                self.closing(open.answered(&write, &answer), sim, reach)
            }
            Phase::ReadBack(open, path) if outcome == CallOutcome::Down => {
                Phase::ReadBack(open, path)
            }
            Phase::ReadBack(open, path) => {
                let found = sim.store.get(&path);
                self.closing(open.read(Ok(found)), sim, reach)
            }
            Phase::Mark(open, window) => {
                let _ = put(sim, &window.mark(), outcome);
                Phase::Open(open)
            }
        };
    }
}

impl Outbox {
    fn take_over(&mut self, sim: &mut Simulation, outcome: CallOutcome) -> Phase {
        if let Some(found) = resume(&workspace(), records(sim)) {
            self.unreported = found.unreported;
            return Phase::Open(found.open);
        }
        let _ = put(sim, &origin(&workspace(), sim.window()), outcome);
        Phase::Start
    }

    fn open(
        &mut self,
        open: Window<Open>,
        sim: &mut Simulation,
        outcome: CallOutcome,
        reach: [bool; 4],
    ) -> Phase {
        if !self.unreported.is_empty() {
            let window = self.unreported.remove(0);
            let answer = sim.report(&window.report(), outcome);
            return match window.sent(&answer) {
                Outcome::Reported(window) => Phase::Mark(open, window),
                Outcome::Retry(window) | Outcome::Contradiction(window) => {
                    self.unreported.insert(0, window);
                    Phase::Open(open)
                }
            };
        }
        if !open.due(sim.window()) || outcome == CallOutcome::Down {
            return Phase::Open(open);
        }
        match open.close(&sim.collect(reach), None) {
            OpenStep::Freeze(write) => Phase::Close(open, write),
            OpenStep::LookUp(_) => {
                let found: Vec<_> = records(sim).into_iter().map(|pair| pair.1).collect();
                Phase::LookedUp(open, history(&found))
            }
        }
    }

    fn closing(&mut self, closing: Closing, sim: &mut Simulation, reach: [bool; 4]) -> Phase {
        match closing {
            Closing::Open(open) => Phase::Open(open),
            Closing::ReadBack(open, path) => Phase::ReadBack(open, path),
            Closing::Frozen(window) => {
                sim.prune(window.frozen_counters(), reach);
                let open = window.following();
                self.unreported.push(window);
                Phase::Open(open)
            }
        }
    }
}

/// Baseline that reports the growth since the last stored base and then stores the new base.
pub struct Direct {
    base: Option<(Precondition, WindowRecord)>,
    stored: bool,
}

impl Reporter for Direct {
    fn start() -> Self {
        Self {
            base: None,
            stored: true,
        }
    }

    fn step(&mut self, sim: &mut Simulation, outcome: CallOutcome, reach: [bool; 4]) {
        let Some((expect, mut base)) = self.base.take() else {
            self.base = Some(Self::read(sim));
            return;
        };
        if !self.stored {
            self.store(sim, expect, base, outcome);
            return;
        }
        if base.window + 1 < sim.window() {
            let counters = sim.collect(reach);
            let known = |i| base.counters.get(i).copied().unwrap_or_default();
            let growth = counters.iter().map(|(i, now)| now.saturating_sub(known(i)));
            let window = base.window + 1;
            let report = UsageReport {
                id: format!("{}/{window}", workspace()),
                workspace: workspace(),
                window,
                tokens: growth.sum(),
            };
            // A contradiction means that the window was already reported, so continue with the
            // next.
            let answer = sim.report(&report, outcome);
            if matches!(answer, Ok(()) | Err(UsageError::Contradiction)) {
                for (incarnation, now) in counters {
                    let known = base.counters.entry(incarnation).or_default();
                    *known = now.max(*known);
                }
                base.window = window;
                self.stored = false;
            }
        }
        self.base = Some((expect, base));
    }
}

impl Direct {
    /// Stores the base after a report. Reads the stored base again if another holder stored one or
    /// the answer is lost.
    fn store(
        &mut self,
        sim: &mut Simulation,
        expect: Precondition,
        base: WindowRecord,
        outcome: CallOutcome,
    ) {
        let answer = sim.store.put("base", &base, expect, outcome);
        self.stored = !matches!(answer, Err(ObjectError::Unavailable(_)));
        self.base = match answer {
            Ok(revision) => Some((Precondition::At(revision), base)),
            Err(ObjectError::Unavailable(_)) => Some((expect, base)),
            Err(_) => None,
        };
    }

    fn read(sim: &Simulation) -> (Precondition, WindowRecord) {
        let initial = |window| WindowRecord {
            window,
            tokens: 0,
            counters: Counters::new(),
            reported: true,
        };
        match sim.store.get("base") {
            Some((revision, base)) => (Precondition::At(revision), base),
            None => (Precondition::Absent, initial(sim.window())),
        }
    }
}
