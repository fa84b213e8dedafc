//! Life cycle of one window: `Open`, `Frozen`, `Reported`. Only a frozen window yields a report,
//! so no figure is sent that could still change.

use std::sync::Arc;

use crate::decision::usage::Counters;
use crate::decision::usage::WindowRecord;
use crate::decision::usage::WindowWrite;
use crate::decision::usage::prefix;
use crate::domain::ids::Revision;
use crate::domain::name::WorkspaceId;
use crate::port::object::Expect;
use crate::port::object::ObjectError;
use crate::port::usage::UsageError;
use crate::port::usage::UsageReport;

/// Collects usage. Knows the window before it.
#[derive(Clone, Debug)]
pub struct Open {
    previous: WindowRecord,
}

/// Has a figure that never changes.
#[derive(Clone, Debug)]
pub struct Frozen {
    record: WindowRecord,
    revision: Revision,
}

/// Has been accepted by the usage interface.
#[derive(Clone, Debug)]
pub struct Reported {
    record: WindowRecord,
    revision: Revision,
}

/// A window in one state of its life cycle.
#[derive(Clone, Debug)]
pub struct Window<S> {
    workspace: WorkspaceId,
    state: S,
}

/// What a holder finds when it takes over a workspace.
#[derive(Debug)]
pub struct Resumption {
    /// The window that collects usage.
    pub open: Window<Open>,
    /// Windows whose report may not have arrived, oldest first.
    pub unreported: Vec<Window<Frozen>>,
}

/// What closes a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenStep {
    /// List this prefix, and close again with the `history` of the found windows.
    LookUp(Arc<str>),
    /// Write and pass the answer to `answered`.
    Freeze(WindowWrite),
}

/// State of a window after a try to freeze it.
#[derive(Debug)]
pub enum Closing {
    /// Not frozen. Close again after a pause.
    Open(Window<Open>),
    /// Not known. Read the object at this path and pass the result to `read`.
    ReadBack(Window<Open>, Arc<str>),
    /// Frozen, by this process or by another.
    Frozen(Window<Frozen>),
}

/// State of a window after a report.
#[derive(Debug)]
pub enum Outcome {
    /// Send the same report again after a pause.
    Again(Window<Frozen>),
    /// The interface has the figure.
    Reported(Window<Reported>),
    /// The interface holds another figure. Operators must find out who sent it.
    Contradiction(Window<Frozen>),
}

impl Window<Open> {
    /// Returns the number of the window.
    pub fn number(&self) -> u64 {
        self.state.previous.window + 1
    }

    /// Tells whether the window is over when window `running` runs.
    pub fn due(&self, running: u64) -> bool {
        self.number() < running
    }

    /// Closes the window with the collected counters. `history` holds the highest counters of all
    /// windows and is needed only if the previous window does not name a collected counter.
    pub fn close(&self, collected: &Counters, history: Option<&Counters>) -> OpenStep {
        let previous = &self.state.previous.counters;
        let known = |incarnation| previous.contains_key(incarnation);
        if history.is_none() && !collected.keys().all(known) {
            return OpenStep::LookUp(prefix(&self.workspace));
        }
        let mut counters = Counters::new();
        let mut tokens = 0;
        for (incarnation, now) in collected {
            let older = history.and_then(|all| all.get(incarnation));
            let base = previous.get(incarnation).max(older).copied();
            let base = base.unwrap_or_default();
            tokens += now.saturating_sub(base);
            counters.insert(*incarnation, base.max(*now));
        }
        let record = WindowRecord {
            window: self.number(),
            tokens,
            counters,
            reported: false,
        };
        let path = path(&self.workspace, record.window);
        let expect = Expect::Absent;
        OpenStep::Freeze(WindowWrite {
            path,
            record,
            expect,
        })
    }

    /// Takes in the answer to the freeze.
    pub fn answered(self, write: &WindowWrite, answer: &Result<Revision, ObjectError>) -> Closing {
        match answer {
            Ok(revision) => Closing::Frozen(self.frozen(write.record.clone(), *revision)),
            Err(ObjectError::Conflict(_) | ObjectError::Unknown(_)) => {
                Closing::ReadBack(self, write.path.clone())
            }
            Err(_) => Closing::Open(self),
        }
    }

    /// Takes in the object that was read back. Whatever was frozen first is the figure.
    pub fn read(self, found: Result<Option<(Revision, WindowRecord)>, ObjectError>) -> Closing {
        match found {
            Ok(Some((revision, record))) => Closing::Frozen(self.frozen(record, revision)),
            Ok(None) => Closing::Open(self),
            Err(_) => {
                let path = path(&self.workspace, self.number());
                Closing::ReadBack(self, path)
            }
        }
    }

    fn frozen(self, record: WindowRecord, revision: Revision) -> Window<Frozen> {
        let state = Frozen { record, revision };
        Window {
            workspace: self.workspace,
            state,
        }
    }
}

impl Window<Frozen> {
    /// Returns the report. Its id and its figure are the same whoever sends it.
    pub fn report(&self) -> UsageReport {
        let window = self.state.record.window;
        UsageReport {
            id: format!("{}/{window}", self.workspace),
            workspace: self.workspace.clone(),
            window,
            tokens: self.state.record.tokens,
        }
    }

    /// Returns the counters that entries may drop.
    pub fn covered(&self) -> &Counters {
        &self.state.record.counters
    }

    /// Returns the window that follows.
    pub fn following(&self) -> Window<Open> {
        let previous = self.state.record.clone();
        Window {
            workspace: self.workspace.clone(),
            state: Open { previous },
        }
    }

    /// Takes in the answer to the report.
    pub fn sent(self, answer: &Result<(), UsageError>) -> Outcome {
        match answer {
            Ok(()) => Outcome::Reported(Window {
                workspace: self.workspace,
                state: Reported {
                    record: self.state.record,
                    revision: self.state.revision,
                },
            }),
            Err(UsageError::Contradiction) => Outcome::Contradiction(self),
            Err(UsageError::Unavailable(_) | UsageError::Unknown(_)) => Outcome::Again(self),
        }
    }
}

impl Window<Reported> {
    /// Returns the write that marks the window as reported. If it fails, a later holder sends the
    /// same report once more.
    pub fn mark(&self) -> WindowWrite {
        let mut record = self.state.record.clone();
        record.reported = true;
        WindowWrite {
            path: path(&self.workspace, record.window),
            record,
            expect: Expect::At(self.state.revision),
        }
    }
}

/// Returns the write that starts the chain of a workspace before its first window. There is one
/// origin, so holders whose clocks differ cannot start two chains.
pub fn origin(workspace: &WorkspaceId, window: u64) -> WindowWrite {
    WindowWrite {
        path: Arc::from(format!("{}origin", prefix(workspace))),
        record: WindowRecord {
            window,
            tokens: 0,
            counters: Counters::new(),
            reported: true,
        },
        expect: Expect::Absent,
    }
}

/// Continues from all stored windows of a workspace, or returns none if there is no origin.
pub fn resume(
    workspace: &WorkspaceId,
    mut records: Vec<(Revision, WindowRecord)>,
) -> Option<Resumption> {
    records.sort_by_key(|(_, record)| record.window);
    let previous = records.last()?.1.clone();
    let state = Open { previous };
    let workspace = workspace.clone();
    let unreported = records.into_iter().filter(|(_, record)| !record.reported);
    let unreported = unreported.map(|(revision, record)| Window {
        workspace: workspace.clone(),
        state: Frozen { record, revision },
    });
    Some(Resumption {
        unreported: unreported.collect(),
        open: Window { workspace, state },
    })
}

/// Returns the path of a window object. The number is padded so that paths sort by number.
fn path(workspace: &WorkspaceId, window: u64) -> Arc<str> {
    Arc::from(format!("{}{window:012}", prefix(workspace)))
}
