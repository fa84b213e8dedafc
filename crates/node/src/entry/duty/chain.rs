//! The usage windows of one workspace: freezes them in order and reports the frozen ones.
//!
//! Freezing and reporting each have at most one call under way, so an outage of the usage interface
//! does not delay the freezing of windows.

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

/// Minimum delay after a failed call. A random delay of up to the same length is added, so that an
/// outage does not end in a burst of calls.
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A call about the usage windows of a workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageCall {
    /// List the windows under this prefix.
    List(Arc<str>),
    /// Read the window at this path.
    Read(Arc<str>),
    /// Create a window, or mark it as reported.
    Write(WindowWrite),
    /// Send a report while the permit is valid.
    Report(UsageReport, Permit),
}

/// Result of a call about usage windows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageAnswer {
    /// Result of a listing.
    Listed(Result<Vec<(Revision, WindowRecord)>, ObjectError>),
    /// Result of a read.
    Read(Result<Option<(Revision, WindowRecord)>, ObjectError>),
    /// Result of a write.
    Written(Result<Revision, ObjectError>),
    /// Result of a report.
    Sent(Result<(), UsageError>),
}

/// One of the two kinds of calls of a chain that may be under way at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Reads and freezes windows.
    Freeze,
    /// Reports frozen windows and marks them.
    Report,
}

/// The usage windows of one workspace during one tenure of its shard.
#[derive(Debug)]
pub struct Chain {
    workspace: WorkspaceId,
    /// None only during a change of phase.
    phase: Option<Phase>,
    freeze: LaneState,
    /// Frozen windows without an accepted report, oldest first.
    unreported: VecDeque<Window<Frozen>>,
    /// Window whose report was accepted but which is not marked as reported yet.
    marking: Option<Window<Reported>>,
    report: LaneState,
}

#[derive(Debug)]
enum Phase {
    /// The stored windows are to be listed.
    Unread,
    /// The workspace has no stored window, so the first one is to be created.
    Empty,
    /// A window is open.
    Open(Window<Open>),
    /// The window is over, and the earlier windows are to be listed to close it.
    LookUp(Window<Open>, Counters),
    /// The frozen window is to be written.
    Freeze(Window<Open>, WindowWrite),
    /// The result of the write is unknown, so the window is to be read.
    ReadBack(Window<Open>, Arc<str>),
}

/// Whether a lane has a call under way, and when it makes the next one.
#[derive(Clone, Copy, Debug, Default)]
struct LaneState {
    busy: bool,
    due: Time,
}

impl Chain {
    /// Creates a chain whose stored windows are not known yet.
    pub fn new(workspace: WorkspaceId) -> Self {
        Self {
            workspace,
            phase: Some(Phase::Unread),
            freeze: LaneState::default(),
            unreported: VecDeque::new(),
            marking: None,
            report: LaneState::default(),
        }
    }

    /// Returns `true` if a window is open but over, given the number of the current window.
    pub fn is_due(&self, current: u64) -> bool {
        matches!(&self.phase, Some(Phase::Open(window)) if window.due(current))
    }

    /// Returns the number of the oldest window without an accepted report, or `None` if all
    /// reports are accepted.
    pub fn oldest_unreported(&self) -> Option<u64> {
        self.unreported.front().map(|window| window.report().window)
    }

    /// Returns how many frozen windows have no accepted report.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len()
    }

    /// Returns the next call that reads or freezes a window, if one is due. `collected` is none
    /// until the counters have been collected after the end of the open window.
    pub fn next_freeze(
        &mut self,
        now: Time,
        current: u64,
        collected: Option<&Counters>,
    ) -> Option<UsageCall> {
        if !self.freeze.is_ready(now) {
            return None;
        }
        let (phase, call) = match self.phase.take()? {
            Phase::Unread => (
                Phase::Unread,
                Some(UsageCall::List(prefix(&self.workspace))),
            ),
            Phase::Empty => {
                let first = current.saturating_sub(1);
                let write = origin(&self.workspace, first);
                (Phase::Empty, Some(UsageCall::Write(write)))
            }
            Phase::Open(window) => close(window, current, collected),
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

    /// Returns the next call that reports a window or marks it as reported, if one is due.
    pub fn next_report(&mut self, now: Time, permit: Permit) -> Option<UsageCall> {
        if !self.report.is_ready(now) {
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

    /// Delays the next call of a lane after one could not be made.
    pub fn defer(&mut self, now: Time, lane: Lane) {
        match lane {
            Lane::Freeze => self.freeze.retry(now),
            Lane::Report => self.report.retry(now),
        }
    }

    /// Handles the result of a call. Returns the counters of the window if it froze one.
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
        self.freeze = LaneState::default();
        match (self.phase.take()?, answer) {
            (Phase::Unread, UsageAnswer::Listed(Ok(records))) => self.resume_from(records),
            (Phase::Empty, UsageAnswer::Written(written)) => {
                // Another holder may have created the first window, so it is read in any case.
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
                return self.apply_closing(now, window.answered(&write, &written));
            }
            (Phase::ReadBack(window, _), UsageAnswer::Read(found)) => {
                let failed = found.is_err();
                let covered = self.apply_closing(now, window.read(found));
                if failed {
                    self.freeze.retry(now);
                }
                return covered;
            }
            (phase, answer) => {
                self.log_unreadable(&answer);
                self.phase = Some(phase);
                self.freeze.retry(now);
            }
        }
        None
    }

    /// Continues from the stored windows.
    fn resume_from(&mut self, records: Vec<(Revision, WindowRecord)>) {
        self.phase = Some(match resume(&self.workspace, records) {
            None => Phase::Empty,
            Some(found) => {
                self.unreported = found.unreported.into();
                Phase::Open(found.open)
            }
        });
    }

    fn apply_closing(&mut self, now: Time, closing: Closing) -> Option<Counters> {
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
                let covered = window.frozen_counters().clone();
                self.phase = Some(Phase::Open(window.following()));
                self.unreported.push_back(window);
                Some(covered)
            }
        }
    }

    fn answer_report(&mut self, now: Time, answer: UsageAnswer) {
        self.report = LaneState::default();
        match answer {
            UsageAnswer::Sent(sent) => self.handle_sent(now, &sent),
            UsageAnswer::Written(Err(ObjectError::Unavailable(_))) => self.report.retry(now),
            // Without the mark, a later holder sends the same report again.
            _ => self.marking = None,
        }
    }

    fn handle_sent(&mut self, now: Time, sent: &Result<(), UsageError>) {
        let Some(window) = self.unreported.pop_front() else {
            return;
        };
        let report = window.report();
        match window.sent(sent) {
            Outcome::Reported(window) => self.marking = Some(window),
            Outcome::Retry(window) => {
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

    fn log_unreadable(&self, answer: &UsageAnswer) {
        if let UsageAnswer::Listed(Err(ObjectError::Invalid(e))) = answer {
            let fields: [(&str, &dyn std::fmt::Display); 2] =
                [("workspace", &self.workspace), ("error", e)];
            emit(Event::WindowUnreadable, &fields);
        }
    }
}

impl LaneState {
    fn is_ready(self, now: Time) -> bool {
        !self.busy && now >= self.due
    }

    fn retry(&mut self, now: Time) {
        self.busy = false;
        self.due = now + MIN_RETRY_DELAY + MIN_RETRY_DELAY.mul_f64(rand::random());
    }
}

/// Returns the next phase and call of an open window.
fn close(
    window: Window<Open>,
    current: u64,
    collected: Option<&Counters>,
) -> (Phase, Option<UsageCall>) {
    let Some(counters) = collected.filter(|_| window.due(current)) else {
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
