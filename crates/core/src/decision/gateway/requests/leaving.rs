//! Targets that say in their answers that they are leaving.
//!
//! The statement of a target counts by itself, whether the object API answers or not. Gateways pass
//! it on to each other with the pings of processes that run jobs, in both directions.

use crate::decision::gateway::Gateway;
use crate::domain::event::Event;
use crate::domain::leave::LeaveStatement;

/// Where a process learned that a target is leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::decision::gateway) enum LeaveSource {
    /// An answer of the target.
    Answer,
    /// Another process.
    Process,
}

impl LeaveSource {
    fn label(self) -> &'static str {
        match self {
            LeaveSource::Answer => "answer",
            LeaveSource::Process => "process",
        }
    }
}

impl Gateway {
    /// Handles the statement of a target that it is leaving. Its running requests may end.
    pub(in crate::decision::gateway) fn leaving_stated(
        &mut self,
        statement: &LeaveStatement,
        source: LeaveSource,
    ) {
        if !self.directory.record_leaving(self.now, statement) {
            return;
        }
        let fields = vec![
            ("target", statement.target.to_string()),
            ("started_at", statement.started_at.to_string()),
            ("source", source.label().to_owned()),
        ];
        self.log(Event::TargetLeaving, fields);
    }

    /// Handles the statements that another process passed on.
    pub(in crate::decision::gateway) fn leaves_told(&mut self, statements: &[LeaveStatement]) {
        for statement in statements {
            self.leaving_stated(statement, LeaveSource::Process);
        }
    }
}
