//! Collection of cumulative counters, merged by maximum.

use std::collections::BTreeMap;

use crate::decision::usage::Counters;
use crate::domain::call::Counter;
use crate::domain::name::WorkspaceId;

/// Highest known value of each counter. Each entry keeps one as a backup of the agents' counters,
/// and the reporter collects into one.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    counters: BTreeMap<WorkspaceId, Counters>,
}

impl Tally {
    /// Merges one counter. Repeated and outdated values have no effect.
    pub fn merge(&mut self, counter: &Counter) {
        let counters = self.counters.entry(counter.workspace.clone()).or_default();
        let known = counters.entry(counter.incarnation).or_default();
        *known = counter.tokens.max(*known);
    }

    /// Returns the counters of a workspace.
    pub fn counters(&self, workspace: &WorkspaceId) -> Counters {
        self.counters.get(workspace).cloned().unwrap_or_default()
    }

    /// Returns the counters of all workspaces.
    pub fn all(&self) -> Vec<Counter> {
        let flat = self.counters.iter().flat_map(|(workspace, counters)| {
            counters.iter().map(|(incarnation, tokens)| Counter {
                incarnation: *incarnation,
                workspace: workspace.clone(),
                tokens: *tokens,
            })
        });
        flat.collect()
    }

    /// Drops the counters of a workspace that a frozen window covers. The frozen window is a
    /// durable copy, so this is safe for ended and for running incarnations.
    pub fn prune(&mut self, workspace: &WorkspaceId, frozen: &Counters) {
        if let Some(counters) = self.counters.get_mut(workspace) {
            counters.retain(|incarnation, tokens| {
                frozen
                    .get(incarnation)
                    .is_none_or(|covered| covered < tokens)
            });
            if counters.is_empty() {
                self.counters.remove(workspace);
            }
        }
    }
}

/// Merges `from` into `into` by maximum.
pub(super) fn merge(into: &mut Counters, from: &Counters) {
    for (incarnation, tokens) in from {
        let known = into.entry(*incarnation).or_default();
        *known = (*known).max(*tokens);
    }
}
