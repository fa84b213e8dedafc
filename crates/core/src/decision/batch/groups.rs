//! Targets that have read the prompts of groups, and the order in which whole groups are sent.
//!
//! Answers a load of groups whose items share a long prompt: each further target that runs an item of
//! a group reads the prompt again.

use std::collections::HashMap;

use crate::decision::batch::Task;
use crate::domain::name::GroupName;
use crate::domain::name::TargetName;

/// Maximum number of targets that are remembered for a group. Older ones have replaced the prompt.
const MAX_HOLDERS: usize = 4;

/// Targets that have read the prompt of each group, the latest one last.
#[derive(Debug, Default)]
pub(super) struct Holders {
    groups: HashMap<GroupName, Vec<TargetName>>,
}

impl Holders {
    /// Records that a target reads the prompt of a group.
    pub(super) fn record(&mut self, group: &GroupName, target: &TargetName) {
        let holders = self.groups.entry(group.clone()).or_default();
        holders.retain(|holder| holder != target);
        if holders.len() >= MAX_HOLDERS {
            holders.remove(0);
        }
        holders.push(target.clone());
    }

    /// Returns the targets that have read the prompt of a group.
    pub(super) fn of(&self, group: Option<&GroupName>) -> Vec<TargetName> {
        let holders = group.and_then(|group| self.groups.get(group));
        holders.cloned().unwrap_or_default()
    }
}

/// Reorders tasks so that the items of each group are adjacent, in the order of the first item of each
/// group. Only for tasks that can all start now, as the last one would otherwise start later.
pub fn by_group(tasks: Vec<Task>) -> Vec<Task> {
    let mut ranks: HashMap<Option<GroupName>, usize> = HashMap::new();
    let mut ranked: Vec<(usize, Task)> = Vec::new();
    for task in tasks {
        let rank = match &task {
            Task::Generate(generation) => {
                let next = ranks.len();
                *ranks.entry(generation.group.clone()).or_insert(next)
            }
            Task::Score { .. } => 0,
        };
        ranked.push((rank, task));
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, task)| task).collect()
}
