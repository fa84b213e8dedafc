//! Usage reports: collects the counts of a window, stores the figures, then reports them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::decision::gateway::Gateway;
use crate::decision::gateway::message::Effect;
use crate::decision::gateway::message::ReportEnd;
use crate::decision::gateway::stored::Answer;
use crate::decision::gateway::stored::Kind;
use crate::decision::gateway::stored::Purpose;
use crate::decision::gateway::stored::Record;
use crate::decision::gateway::stored::StoreCall;
use crate::decision::tally::Counts;
use crate::decision::tally::Figures;
use crate::domain::event::Event;
use crate::domain::name::HostName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time after the end of a window until its counts are collected, for requests on their way.
const SETTLE: Duration = Duration::from_millis(1_500);

/// Time for which processes that do not answer are asked again.
const COLLECT_LIMIT: Duration = Duration::from_millis(2_500);

/// Pause before a report is sent again.
const REPORT_PAUSE: Duration = Duration::from_millis(400);

/// Windows that are worked on at once, after a change of the holder or an outage.
const OPEN_MOST: usize = 4;

/// Progress of the reports of the holder.
#[derive(Debug)]
pub(super) struct Reports {
    /// Next window to open, or none before the first look.
    next: Option<u64>,
    open: BTreeMap<u64, Open>,
    /// Start of this process.
    start: Time,
}

#[derive(Debug)]
struct Open {
    since: Time,
    state: State,
}

/// Life of a window at the holder.
#[derive(Debug)]
enum State {
    /// Counts are being collected. Holds what each process told and who has been asked.
    Collecting(BTreeMap<HostName, Counts>, Time),
    /// The figures are being stored.
    Freezing(Figures),
    /// The figures are stored and are reported from this time on.
    Frozen(Figures, Time),
    /// A report waits for its answer.
    Reporting(Figures),
}

impl Reports {
    pub(super) fn new(start: Time) -> Self {
        Self {
            next: None,
            open: BTreeMap::new(),
            start,
        }
    }
}

impl Gateway {
    /// Looks at all windows anew, because another process may have worked on them.
    pub(super) fn reset_reports(&mut self) {
        self.reports.next = None;
        self.reports.open.clear();
    }

    pub(super) fn tick_reports(&mut self) {
        if self.me.window.is_none() || self.permit().is_none() {
            return;
        }
        self.open_windows();
        let windows: Vec<u64> = self.reports.open.keys().copied().collect();
        for window in windows {
            self.step_window(window);
        }
    }

    /// Opens windows whose counts are complete, and drops those that are too late.
    fn open_windows(&mut self) {
        let now = self.now;
        let current = self.tally.window(self.wall());
        let first = self.tally.window(crate::domain::time::WallTime(
            self.reports.start.0 + self.me.epoch,
        ));
        // A window that began before this process can still be reported with the others' counts.
        let oldest = current.saturating_sub(2).max(first.saturating_sub(2));
        let mut next = self.reports.next.unwrap_or(oldest).max(oldest);
        while self.tally.end(next).0 + millis(SETTLE) <= self.wall().0
            && self.reports.open.len() < OPEN_MOST
        {
            let state = State::Collecting(BTreeMap::new(), now);
            self.reports.open.insert(next, Open { since: now, state });
            next += 1;
        }
        self.reports.next = Some(next);
        let limit = millis(self.me.report_limit);
        let wall = self.wall().0;
        let tally = &self.tally;
        self.reports
            .open
            .retain(|window, _| wall < tally.end(*window).0 + limit);
    }

    fn step_window(&mut self, window: u64) {
        let now = self.now;
        let others = self.others();
        let Some(permit) = self.permit() else {
            return;
        };
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let mut effects = Vec::new();
        match &mut open.state {
            State::Collecting(counts, next) => {
                let missing: Vec<_> = others
                    .iter()
                    .filter(|p| !counts.contains_key(&p.host))
                    .collect();
                if missing.is_empty() || now >= open.since + COLLECT_LIMIT {
                    let mut sum = self.tally.counts(window);
                    for (workspace, count) in counts.values().flatten() {
                        *sum.entry(workspace.clone()).or_default() += count;
                    }
                    let figures = Figures {
                        counts: sum,
                        missing: missing.iter().map(|p| p.host.clone()).collect(),
                    };
                    open.state = State::Freezing(figures.clone());
                    let name = Arc::from(window.to_string());
                    let call = StoreCall::Create(Kind::Windows, name, Record::Window(figures));
                    effects.push(Effect::Store(Purpose::Freeze(window), call));
                } else if now >= *next {
                    *next = now + REPORT_PAUSE;
                    let asks = missing.into_iter().cloned();
                    effects.extend(asks.map(|peer| Effect::Collect(window, peer)));
                }
            }
            State::Frozen(figures, due) if now >= *due => {
                let counts = figures.counts.clone();
                open.state = State::Reporting(figures.clone());
                effects.push(Effect::Report(window, counts, permit));
            }
            State::Freezing(_) | State::Frozen(..) | State::Reporting(_) => {}
        }
        self.effects.extend(effects);
    }

    pub(super) fn collected(&mut self, window: u64, host: HostName, counts: Option<Counts>) {
        if let Some(open) = self.reports.open.get_mut(&window)
            && let State::Collecting(known, _) = &mut open.state
            && let Some(counts) = counts
        {
            known.insert(host, counts);
        }
        self.tick_reports();
    }

    /// Takes in the answer to the write of the figures.
    pub(super) fn frozen(&mut self, window: u64, answer: &Result<Answer, ObjectError>) {
        let now = self.now;
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let State::Freezing(figures) = &open.state else {
            return;
        };
        if let Ok(Answer::Written(_)) = answer {
            open.state = State::Frozen(figures.clone(), now);
            self.tick_reports();
            return;
        }
        // Other figures may stand, or these after a lost answer. What stands is reported.
        let call = StoreCall::Get(Kind::Windows, Arc::from(window.to_string()));
        self.call_store(Purpose::Frozen(window), call);
    }

    /// Takes in the figures that stand.
    pub(super) fn read_frozen(&mut self, window: u64, answer: Result<Answer, ObjectError>) {
        let now = self.now;
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let State::Freezing(figures) = &open.state else {
            return;
        };
        let figures = figures.clone();
        match answer {
            Ok(Answer::Found(Some((_, Record::Window(stored))))) => {
                open.state = State::Frozen(stored, now);
            }
            Ok(Answer::Found(None)) => {
                let name = Arc::from(window.to_string());
                let call = StoreCall::Create(Kind::Windows, name, Record::Window(figures));
                self.call_store(Purpose::Freeze(window), call);
            }
            _ => {
                let call = StoreCall::Get(Kind::Windows, Arc::from(window.to_string()));
                self.call_store_again(Purpose::Frozen(window), call);
            }
        }
    }

    pub(super) fn reported(&mut self, window: u64, end: ReportEnd) {
        let now = self.now;
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let State::Reporting(figures) = &open.state else {
            return;
        };
        let sum: u64 = figures.counts.values().sum();
        let missing = figures.missing.len();
        match end {
            ReportEnd::Accepted => {
                self.reports.open.remove(&window);
                self.forget_window(window);
            }
            ReportEnd::Failed | ReportEnd::Fenced => {
                open.state = State::Frozen(figures.clone(), now + REPORT_PAUSE);
            }
        }
        if end == ReportEnd::Fenced {
            self.note_fenced();
        }
        self.log(
            Event::UsageReported,
            vec![
                ("window", window.to_string()),
                ("requests", sum.to_string()),
                ("missing", missing.to_string()),
                ("end", format!("{end:?}")),
            ],
        );
    }
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}
