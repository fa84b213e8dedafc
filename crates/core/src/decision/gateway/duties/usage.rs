//! Usage reports. The lease holder collects the counts of a window from all processes, stores the
//! sums and then reports them, so that another holder reports the same sums.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
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
use crate::decision::tally::WindowCounts;
use crate::domain::event::Event;
use crate::domain::name::HostName;
use crate::domain::time::Time;
use crate::port::object::ObjectError;

/// Time after the end of a window until its counts are collected, for requests still on their way.
const WINDOW_SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time for which processes that do not answer are asked again. After it they count as missing.
const COLLECT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Part of the time until the deadline of a report for which processes that do not answer are asked
/// again. The sums are stored and reported in the rest, also after an outage that left little time.
const COLLECT_PART: u32 = 3;

/// Time for which a process is asked that did not answer for the window before.
const ABSENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Delay before a failed report or collection is repeated.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Maximum number of windows processed at once, as after an outage or a change of the holder.
const MAX_OPEN_WINDOWS: usize = 4;

/// Progress of the usage reports at the holder of the duty.
#[derive(Debug)]
pub(in crate::decision::gateway) struct Reports {
    /// Next window to open, or `None` after this process gained the duty.
    next: Option<u64>,
    open: BTreeMap<u64, OpenWindow>,
    /// Processes that did not answer for the last window.
    absent: BTreeSet<HostName>,
    /// Start of this process.
    start: Time,
}

#[derive(Debug)]
struct OpenWindow {
    /// Time after which processes that did not answer count as missing.
    collect_until: Time,
    /// Time after which only processes that answered for the window before are waited for.
    absent_until: Time,
    state: WindowState,
}

/// Life cycle of a window at the holder of the duty.
#[derive(Debug)]
enum WindowState {
    /// Counts are being collected. Holds the counts of each process and the time of the next
    /// request.
    Collecting(BTreeMap<HostName, Counts>, Time),
    /// The sums are being stored.
    Storing(WindowCounts),
    /// The sums are stored and are reported at this time.
    Stored(WindowCounts, Time),
    /// The report has been sent and its answer is outstanding.
    Reporting(WindowCounts),
}

impl Reports {
    pub(in crate::decision::gateway) fn new(start: Time) -> Self {
        Self {
            next: None,
            open: BTreeMap::new(),
            absent: BTreeSet::new(),
            start,
        }
    }
}

impl Gateway {
    /// Drops all progress, because another process may have reported windows since.
    pub(in crate::decision::gateway) fn reset_reports(&mut self) {
        self.reports.next = None;
        self.reports.open.clear();
    }

    pub(in crate::decision::gateway) fn tick_reports(&mut self) {
        if self.settings.usage_window.is_none() || self.permit().is_none() {
            return;
        }
        self.open_windows();
        let windows: Vec<u64> = self.reports.open.keys().copied().collect();
        for window in windows {
            self.step_window(window);
        }
    }

    /// Opens windows that have ended, and drops those whose report deadline has passed.
    fn open_windows(&mut self) {
        let now = self.now;
        let current = self.tally.window(self.wall_time());
        let first = self.tally.window(crate::domain::time::WallTime(
            self.reports.start.0 + self.settings.epoch,
        ));
        // Windows from before the start of this process are reported with the counts of the others.
        let oldest = current.saturating_sub(2).max(first.saturating_sub(2));
        let mut next = self.reports.next.unwrap_or(oldest).max(oldest);
        while self.tally.end(next).0 + millis(WINDOW_SETTLE_TIME) <= self.wall_time().0
            && self.reports.open.len() < MAX_OPEN_WINDOWS
        {
            let window = OpenWindow {
                collect_until: now + self.collect_time(next),
                absent_until: now + ABSENT_TIMEOUT,
                state: WindowState::Collecting(BTreeMap::new(), now),
            };
            self.reports.open.insert(next, window);
            next += 1;
        }
        self.reports.next = Some(next);
        let limit = millis(self.settings.report_deadline);
        let wall = self.wall_time().0;
        let tally = &self.tally;
        self.reports
            .open
            .retain(|window, _| wall < tally.end(*window).0 + limit);
    }

    /// Returns the time for which processes are asked for their counts of a window.
    fn collect_time(&self, window: u64) -> Duration {
        let due = self.tally.end(window).0 + millis(self.settings.report_deadline);
        let left = Duration::from_millis(due.saturating_sub(self.wall_time().0));
        COLLECT_TIMEOUT.min(left / COLLECT_PART)
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
            WindowState::Collecting(counts, next) => {
                let missing: Vec<_> = others
                    .iter()
                    .filter(|p| !counts.contains_key(&p.host))
                    .collect();
                let absent = &mut self.reports.absent;
                let awaited = missing.iter().any(|p| !absent.contains(&p.host));
                let awaited = awaited || (now < open.absent_until && !missing.is_empty());
                if !awaited || now >= open.collect_until {
                    *absent = missing.iter().map(|p| p.host.clone()).collect();
                    let mut sum = self.tally.counts(window);
                    for (workspace, count) in counts.values().flatten() {
                        *sum.entry(workspace.clone()).or_default() += count;
                    }
                    let figures = WindowCounts {
                        counts: sum,
                        missing: missing.iter().map(|p| p.host.clone()).collect(),
                    };
                    open.state = WindowState::Storing(figures.clone());
                    let name = Arc::from(window.to_string());
                    let call = StoreCall::Create(Kind::Windows, name, Record::Window(figures));
                    effects.push(Effect::Store(Purpose::Freeze(window), call));
                } else if now >= *next {
                    *next = now + REPORT_RETRY_DELAY;
                    let asks = missing.into_iter().cloned();
                    effects.extend(asks.map(|peer| Effect::CollectCounts(window, peer)));
                }
            }
            WindowState::Stored(figures, due) if now >= *due => {
                let counts = figures.counts.clone();
                open.state = WindowState::Reporting(figures.clone());
                self.duty.call_started();
                effects.push(Effect::ReportUsage(window, counts, permit));
            }
            WindowState::Storing(_) | WindowState::Stored(..) | WindowState::Reporting(_) => {}
        }
        self.effects.extend(effects);
    }

    pub(in crate::decision::gateway) fn counts_collected(
        &mut self,
        window: u64,
        host: HostName,
        counts: Option<Counts>,
    ) {
        if let Some(open) = self.reports.open.get_mut(&window)
            && let WindowState::Collecting(known, _) = &mut open.state
            && let Some(counts) = counts
        {
            known.insert(host, counts);
        }
        self.tick_reports();
    }

    /// Handles the answer to the write of the sums.
    pub(in crate::decision::gateway) fn window_stored(
        &mut self,
        window: u64,
        answer: &Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let WindowState::Storing(figures) = &open.state else {
            return;
        };
        if let Ok(Answer::Written(_)) = answer {
            open.state = WindowState::Stored(figures.clone(), now);
            self.tick_reports();
            return;
        }
        // Another holder may have stored its sums, or the answer was lost. The stored sums count.
        let call = StoreCall::Get(Kind::Windows, Arc::from(window.to_string()));
        self.call_store(Purpose::Frozen(window), call);
    }

    /// Handles the answer to the read of the stored sums.
    pub(in crate::decision::gateway) fn window_loaded(
        &mut self,
        window: u64,
        answer: Result<Answer, ObjectError>,
    ) {
        let now = self.now;
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let WindowState::Storing(figures) = &open.state else {
            return;
        };
        let figures = figures.clone();
        match answer {
            Ok(Answer::Found(Some((_, Record::Window(stored))))) => {
                open.state = WindowState::Stored(stored, now);
            }
            Ok(Answer::Found(None)) => {
                let name = Arc::from(window.to_string());
                let call = StoreCall::Create(Kind::Windows, name, Record::Window(figures));
                self.call_store(Purpose::Freeze(window), call);
            }
            _ => {
                let call = StoreCall::Get(Kind::Windows, Arc::from(window.to_string()));
                self.retry_store_call(Purpose::Frozen(window), call);
            }
        }
    }

    pub(in crate::decision::gateway) fn report_ended(&mut self, window: u64, end: ReportEnd) {
        let now = self.now;
        self.duty.call_ended();
        let Some(open) = self.reports.open.get_mut(&window) else {
            return;
        };
        let WindowState::Reporting(figures) = &open.state else {
            return;
        };
        let sum: u64 = figures.counts.values().sum();
        let missing = figures.missing.len();
        match end {
            ReportEnd::Accepted => {
                self.reports.open.remove(&window);
                self.remove_window(window);
            }
            ReportEnd::Failed | ReportEnd::Fenced => {
                open.state = WindowState::Stored(figures.clone(), now + REPORT_RETRY_DELAY);
            }
        }
        if end == ReportEnd::Fenced {
            self.record_fenced();
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
