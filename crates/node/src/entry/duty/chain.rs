//! The usage windows of one workspace: freezes them in order and reports the frozen ones.
//!
//! Freezing and reporting have one call under way each, so an outage of the usage interface does
//! not hold up the windows.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use sardinepath_adapters::event::emit;
use sardinepath_core::decision::lease::Permit;
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
use sardinepath_core::domain::event::Event;
use sardinepath_core::domain::ids::Revision;
use sardinepath_core::domain::name::WorkspaceId;
use sardinepath_core::domain::time::Time;
use sardinepath_core::port::object::ObjectError;
use sardinepath_core::port::usage::UsageError;
use sardinepath_core::port::usage::UsageReport;

/// Shortest pause after a failed call. A random part of the same length is added, so that an
/// outage does not end in a burst.
const RETRY: Duration = Duration::from_secs(1);

/// A call of a chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageCall {
    /// List the windows under this prefix.
    List(Arc<str>),
    /// Read the window at this path.
    Read(Arc<str>),
    /// Create or mark a window.
    Write(WindowWrite),
    /// Send a report if the permit allows it.
    Report(UsageReport, Permit),
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageAnswer {
    /// Of a listing.
    Listed(Result<Vec<(Revision, WindowRecord)>, ObjectError>),
    /// Of a read.
    Read(Result<Option<(Revision, WindowRecord)>, ObjectError>),
    /// Of a write.
    Written(Result<Revision, ObjectError>),
    /// Of a report.
    Sent(Result<(), UsageError>),
}

/// Which of the two calls of a chain is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Reads and freezes windows.
    Freeze,
    /// Reports frozen windows and marks them.
    Report,
}

/// The windows of one workspace under one tenure of its shard.
#[derive(Debug)]
pub struct Chain {
    workspace: WorkspaceId,
    /// None only while a step is taken.
    phase: Option<Phase>,
    freeze: Turn,
    /// Frozen windows without an accepted report, oldest first.
    unreported: VecDeque<Window<Frozen>>,
    marking: Option<Window<Reported>>,
    report: Turn,
}

#[derive(Debug)]
enum Phase {
    /// The stored windows are not known.
    Unread,
    /// The workspace has no stored window.
    Unborn,
    Open(Window<Open>),
    LookUp(Window<Open>, Counters),
    Freeze(Window<Open>, WindowWrite),
    ReadBack(Window<Open>, Arc<str>),
}

/// When a lane makes its next call.
#[derive(Clone, Copy, Debug, Default)]
struct Turn {
    busy: bool,
    due: Time,
}

impl Chain {
    /// Starts without knowledge of the stored windows.
    pub fn new(workspace: WorkspaceId) -> Self {
        Self {
            workspace,
            phase: Some(Phase::Unread),
            freeze: Turn::default(),
            unreported: VecDeque::new(),
            marking: None,
            report: Turn::default(),
        }
    }

    /// Tells whether an open window is over when window `running` runs.
    pub fn is_due(&self, running: u64) -> bool {
        matches!(&self.phase, Some(Phase::Open(window)) if window.due(running))
    }

    /// Returns the number of the oldest window without an accepted report.
    pub fn oldest(&self) -> Option<u64> {
        self.unreported.front().map(|window| window.report().window)
    }

    /// Returns the number of windows without an accepted report.
    pub fn unreported(&self) -> usize {
        self.unreported.len()
    }

    /// Returns the next call that reads or freezes a window. `collected` is none until the
    /// counters were collected after the end of the open window.
    pub fn next_freeze(
        &mut self,
        now: Time,
        running: u64,
        collected: Option<&Counters>,
    ) -> Option<UsageCall> {
        if !self.freeze.is_free(now) {
            return None;
        }
        let (phase, call) = match self.phase.take()? {
            Phase::Unread => (
                Phase::Unread,
                Some(UsageCall::List(prefix(&self.workspace))),
            ),
            Phase::Unborn => {
                let first = running.saturating_sub(1);
                let write = origin(&self.workspace, first);
                (Phase::Unborn, Some(UsageCall::Write(write)))
            }
            Phase::Open(window) => close(window, running, collected),
            Phase::LookUp(window, counters) => {
                let call = UsageCall::List(prefix(&self.workspace));
                (Phase::LookUp(window, counters), Some(call))
            }
            Phase::Freeze(window, write) => {
                let call = UsageCall::Write(write.clone());
                (Phase::Freeze(window, write), Some(call))
            }
            Phase::ReadBack(window, path) => {
                let call = UsageCall::Read(path.clone());
                (Phase::ReadBack(window, path), Some(call))
            }
        };
        self.phase = Some(phase);
        self.freeze.busy = call.is_some();
        call
    }

    /// Returns the next call that reports a window.
    pub fn next_report(&mut self, now: Time, permit: Permit) -> Option<UsageCall> {
        if !self.report.is_free(now) {
            return None;
        }
        let call = match (&self.marking, self.unreported.front()) {
            (Some(window), _) => UsageCall::Write(window.mark()),
            (None, Some(window)) => UsageCall::Report(window.report(), permit),
            (None, None) => return None,
        };
        self.report.busy = true;
        Some(call)
    }

    /// Notes that a call could not be made.
    pub fn defer(&mut self, now: Time, lane: Lane) {
        match lane {
            Lane::Freeze => self.freeze.retry(now),
            Lane::Report => self.report.retry(now),
        }
    }

    /// Takes in the result of a call. Returns the counters of a window that was frozen.
    pub fn answer(&mut self, now: Time, lane: Lane, answer: UsageAnswer) -> Option<Counters> {
        match lane {
            Lane::Freeze => self.answer_freeze(now, answer),
            Lane::Report => {
                self.answer_report(now, answer);
                None
            }
        }
    }

    fn answer_freeze(&mut self, now: Time, answer: UsageAnswer) -> Option<Counters> {
        self.freeze = Turn::default();
        match (self.phase.take()?, answer) {
            (Phase::Unread, UsageAnswer::Listed(Ok(records))) => self.adopt(records),
            (Phase::Unborn, UsageAnswer::Written(written)) => {
                // Another holder may have created the origin, so it is read in any case.
                self.phase = Some(Phase::Unread);
                if written.is_err() {
                    self.freeze.retry(now);
                }
            }
            (Phase::LookUp(window, counters), UsageAnswer::Listed(Ok(records))) => {
                let all = history(records.iter().map(|(_, record)| record));
                self.phase = Some(match window.close(&counters, Some(&all)) {
                    OpenStep::Freeze(write) => Phase::Freeze(window, write),
                    OpenStep::LookUp(_) => Phase::LookUp(window, counters),
                });
            }
            (Phase::Freeze(window, write), UsageAnswer::Written(written)) => {
                return self.closed(now, window.answered(&write, &written));
            }
            (Phase::ReadBack(window, _), UsageAnswer::Read(found)) => {
                let failed = found.is_err();
                let covered = self.closed(now, window.read(found));
                if failed {
                    self.freeze.retry(now);
                }
                return covered;
            }
            (phase, answer) => {
                self.note_unreadable(&answer);
                self.phase = Some(phase);
                self.freeze.retry(now);
            }
        }
        None
    }

    /// Continues from the stored windows.
    fn adopt(&mut self, records: Vec<(Revision, WindowRecord)>) {
        self.phase = Some(match resume(&self.workspace, records) {
            None => Phase::Unborn,
            Some(found) => {
                self.unreported = found.unreported.into();
                Phase::Open(found.open)
            }
        });
    }

    fn closed(&mut self, now: Time, closing: Closing) -> Option<Counters> {
        match closing {
            Closing::Open(window) => {
                self.phase = Some(Phase::Open(window));
                self.freeze.retry(now);
                None
            }
            Closing::ReadBack(window, path) => {
                self.phase = Some(Phase::ReadBack(window, path));
                None
            }
            Closing::Frozen(window) => {
                let covered = window.covered().clone();
                self.phase = Some(Phase::Open(window.following()));
                self.unreported.push_back(window);
                Some(covered)
            }
        }
    }

    fn answer_report(&mut self, now: Time, answer: UsageAnswer) {
        self.report = Turn::default();
        match answer {
            UsageAnswer::Sent(sent) => self.sent(now, &sent),
            UsageAnswer::Written(Err(ObjectError::Unavailable(_))) => self.report.retry(now),
            // Without the mark, a later holder sends the same report once more.
            _ => self.marking = None,
        }
    }

    fn sent(&mut self, now: Time, sent: &Result<(), UsageError>) {
        let Some(window) = self.unreported.pop_front() else {
            return;
        };
        let report = window.report();
        match window.sent(sent) {
            Outcome::Reported(window) => self.marking = Some(window),
            Outcome::Again(window) => {
                self.unreported.push_front(window);
                self.report.retry(now);
                if let Err(UsageError::Unavailable(e) | UsageError::Unknown(e)) = sent {
                    emit(Event::ReportWaits, &[("report", &report.id), ("error", e)]);
                }
            }
            Outcome::Contradiction(_) => {
                let fields: [(&str, &dyn std::fmt::Display); 2] =
                    [("report", &report.id), ("tokens", &report.tokens)];
                emit(Event::ReportContradicted, &fields);
            }
        }
    }

    fn note_unreadable(&self, answer: &UsageAnswer) {
        if let UsageAnswer::Listed(Err(ObjectError::Invalid(e))) = answer {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("workspace", &self.workspace), ("error", e)];
            emit(Event::WindowUnreadable, &fields);
        }
    }
}

impl Turn {
    fn is_free(self, now: Time) -> bool {
        !self.busy && now >= self.due
    }

    fn retry(&mut self, now: Time) {
        self.busy = false;
        self.due = now + RETRY + RETRY.mul_f64(rand::random());
    }
}

/// Decides how an open window is closed.
fn close(
    window: Window<Open>,
    running: u64,
    collected: Option<&Counters>,
) -> (Phase, Option<UsageCall>) {
    let Some(counters) = collected.filter(|_| window.due(running)) else {
        return (Phase::Open(window), None);
    };
    match window.close(counters, None) {
        OpenStep::LookUp(path) => {
            let phase = Phase::LookUp(window, counters.clone());
            (phase, Some(UsageCall::List(path)))
        }
        OpenStep::Freeze(write) => {
            let call = UsageCall::Write(write.clone());
            (Phase::Freeze(window, write), Some(call))
        }
    }
}
