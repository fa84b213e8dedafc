//! Request limits that targets stated.

use std::collections::BTreeMap;

use crate::domain::limit::RequestLimit;
use crate::domain::name::TargetName;

/// Request limits by target.
#[derive(Debug, Default)]
pub struct Limits {
    known: BTreeMap<TargetName, RequestLimit>,
}

impl Limits {
    /// Returns the limit of a target, or `None` if it has stated none.
    pub fn get(&self, target: &TargetName) -> Option<RequestLimit> {
        self.known.get(target).copied()
    }

    /// Sets or lifts the limit of a target.
    pub fn set(&mut self, target: &TargetName, limit: Option<RequestLimit>) {
        match limit {
            Some(limit) => drop(self.known.insert(target.clone(), limit)),
            None => drop(self.known.remove(target)),
        }
    }
}
