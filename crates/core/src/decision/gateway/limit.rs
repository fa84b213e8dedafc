//! Request limits that targets state.

use crate::decision::gateway::Gateway;
use crate::domain::event::Event;
use crate::domain::limit::LimitStatement;
use crate::domain::limit::RequestLimit;
use crate::domain::name::TargetName;

impl Gateway {
    /// Records what an answer of a target says about its request limit.
    pub(super) fn limit_stated(&mut self, target: &TargetName, statement: LimitStatement) {
        let known = self.directory.limits.get(target);
        let limit = match statement {
            LimitStatement::Limited(limit) => Some(limit),
            LimitStatement::Unlimited => None,
            LimitStatement::Unreadable => {
                let fields = vec![("target", target.to_string()), ("kept", limit_text(known))];
                self.log(Event::LimitUnreadable, fields);
                return;
            }
        };
        if limit == known {
            return;
        }
        self.directory.limits.set(target, limit);
        let fields = vec![
            ("target", target.to_string()),
            ("limit", limit_text(limit)),
            ("before", limit_text(known)),
            ("source", "answer".to_owned()),
        ];
        self.log(Event::TargetLimited, fields);
    }
}

fn limit_text(limit: Option<RequestLimit>) -> String {
    limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string())
}
