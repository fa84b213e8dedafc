//! Life cycle of one window: `Open`, `Frozen`, `Reported`.
//!
//! Only a frozen window yields a report, so a reported token count can no longer change.

use std::sync::Arc;

use crate::decision::usage::Counters;
use crate::decision::usage::WindowRecord;
use crate::decision::usage::WindowWrite;
use crate::decision::usage::prefix;
use crate::domain::ids::Revision;
use crate::domain::name::WorkspaceId;
use crate::port::object::ObjectError;
use crate::port::object::Precondition;
use crate::port::usage::UsageError;
use crate::port::usage::UsageReport;

/// The window collects usage.
#[derive(Clone, Debug)]
pub struct Open {
    previous: WindowRecord,
}

/// The window is stored with its final token count.
#[derive(Clone, Debug)]
pub struct Frozen {
    record: WindowRecord,
    revision: Revision,
}

/// The usage interface has accepted the report of the window.
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

/// State from which a new holder continues a workspace.
#[derive(Debug)]
pub struct Resumption {
    /// Window that collects usage.
    pub open: Window<Open>,
    /// Windows whose report may not have been accepted, oldest first.
    pub unreported: Vec<Window<Frozen>>,
}

/// Next step to close a window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenStep {
    /// List this prefix, then call `close` again with the `history` of the windows found.
    LookUp(Arc<str>),
    /// Send the write and pass the answer to `answered`.
    Freeze(WindowWrite),
}

/// State of a window after an attempt to freeze it.
#[derive(Debug)]
pub enum Closing {
    /// The window is not frozen. Close it again after a pause.
    Open(Window<Open>),
    /// The outcome is unknown. Read the object at this path and pass the result to `read`.
    ReadBack(Window<Open>, Arc<str>),
    /// The window is frozen, by this process or another one.
    Frozen(Window<Frozen>),
}

/// State of a window after a report.
#[derive(Debug)]
pub enum Outcome {
    /// Send the same report again after a pause.
    Retry(Window<Frozen>),
    /// The interface has accepted the report.
    Reported(Window<Reported>),
    /// The interface holds a different token count. Operators must find out who reported it.
    Contradiction(Window<Frozen>),
}

impl Window<Open> {
    /// Returns the number of the window, one above the last closed window.
    pub fn number(&self) -> u64 {
        self.state.previous.window + 1
    }

    /// Returns `true` if the window has ended. `current` is the number of the current window.
    pub fn due(&self, current: u64) -> bool {
        self.number() < current
    }

    /// Returns the step that closes the window with the collected counters. `history` holds the
    /// highest counters of all windows. It is required only if the previous window does not contain
    /// one of the collected counters.
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
        let expect = Precondition::Absent;
        OpenStep::Freeze(WindowWrite {
            path,
            record,
            expect,
        })
    }

    /// Handles the answer to the write that freezes the window.
    pub fn answered(self, write: &WindowWrite, answer: &Result<Revision, ObjectError>) -> Closing {
        match answer {
            Ok(revision) => Closing::Frozen(self.frozen(write.record.clone(), *revision)),
            Err(ObjectError::Conflict(_) | ObjectError::Unknown(_)) => {
                Closing::ReadBack(self, write.path.clone())
            }
            Err(_) => Closing::Open(self),
        }
    }

    /// Handles the object that was read back. The first frozen record is final.
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
    /// Returns the usage report. Its id and token count do not depend on the sender.
    pub fn report(&self) -> UsageReport {
        let window = self.state.record.window;
        UsageReport {
            id: format!("{}/{window}", self.workspace),
            workspace: self.workspace.clone(),
            window,
            tokens: self.state.record.tokens,
        }
    }

    /// Returns the frozen counters, which entries may drop.
    pub fn frozen_counters(&self) -> &Counters {
        &self.state.record.counters
    }

    /// Returns the next window, which collects usage.
    pub fn following(&self) -> Window<Open> {
        let previous = self.state.record.clone();
        Window {
            workspace: self.workspace.clone(),
            state: Open { previous },
        }
    }

    /// Handles the answer to the report.
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
            Err(UsageError::Unavailable(_) | UsageError::Unknown(_)) => Outcome::Retry(self),
        }
    }
}

impl Window<Reported> {
    /// Returns the write that marks the window as reported. If it fails, a later holder repeats the
    /// report.
    pub fn mark(&self) -> WindowWrite {
        let mut record = self.state.record.clone();
        record.reported = true;
        WindowWrite {
            path: path(&self.workspace, record.window),
            record,
            expect: Precondition::At(self.state.revision),
        }
    }
}

/// Returns the write that creates the origin of a workspace's chain, before its first window. There
/// is a single origin path, so holders whose clocks differ cannot start two chains.
pub fn origin(workspace: &WorkspaceId, window: u64) -> WindowWrite {
    WindowWrite {
        path: Arc::from(format!("{}origin", prefix(workspace))),
        record: WindowRecord {
            window,
            tokens: 0,
            counters: Counters::new(),
            reported: true,
        },
        expect: Precondition::Absent,
    }
}

/// Returns the state to continue from, given all stored windows of a workspace. Returns `None` if
/// there is no origin.
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
