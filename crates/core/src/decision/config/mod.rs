//! The configuration in force on a node.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::domain::declare::PoolSpec;
use crate::domain::declare::RouteSpec;
use crate::domain::declare::TeamTree;
use crate::domain::declare::WorkspaceSpec;
use crate::domain::ids::Revision;
use crate::domain::key::KeyDigest;
use crate::domain::name::PoolId;
use crate::domain::name::RouteId;
use crate::domain::name::TeamName;
use crate::domain::name::WorkspaceId;

/// A team's declarations at one revision.
#[derive(Clone, Debug)]
pub struct TeamState {
    /// Revision of the object that holds the tree.
    pub revision: Revision,
    /// The tree, or none if the team was removed at this revision.
    pub tree: Option<Arc<TeamTree>>,
}

/// All accepted declarations, indexed for requests. Immutable once published.
#[derive(Clone, Debug, Default)]
pub struct Config {
    revision: Revision,
    teams: BTreeMap<TeamName, TeamState>,
    keys: HashMap<KeyDigest, WorkspaceId>,
}

/// What became of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The update is in force.
    Applied,
    /// The node already has this revision or a newer one.
    Old,
}

impl Config {
    /// Returns the highest revision that is in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the teams with the revisions of their trees.
    pub fn teams(&self) -> &BTreeMap<TeamName, TeamState> {
        &self.teams
    }

    /// Puts a team's state in force if it is newer than what is known of the team.
    pub fn merge(&mut self, team: TeamName, state: TeamState) -> Merge {
        let known = self.teams.get(&team);
        if known.is_some_and(|old| old.revision >= state.revision) {
            return Merge::Old;
        }
        self.revision = self.revision.max(state.revision);
        self.teams.insert(team, state);
        self.keys = index_keys(&self.teams);
        Merge::Applied
    }

    /// Notes that nothing changed up to this revision.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Finds the workspace of a key that is not withdrawn.
    pub fn workspace_of(&self, digest: &KeyDigest) -> Option<&WorkspaceId> {
        self.keys.get(digest)
    }

    /// Finds a route.
    pub fn route(&self, id: &RouteId) -> Option<&RouteSpec> {
        self.tree(&id.team)?.routes.get(&id.name)
    }

    /// Finds a pool.
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        self.tree(&id.team)?.pools.get(&id.name)
    }

    /// Finds a workspace.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceSpec> {
        self.tree(&id.team)?.workspaces.get(&id.name)
    }

    /// Finds the tree of a team.
    pub fn tree(&self, team: &TeamName) -> Option<&TeamTree> {
        self.teams.get(team)?.tree.as_deref()
    }
}

/// Builds the index from key digest to workspace, without withdrawn keys.
fn index_keys(teams: &BTreeMap<TeamName, TeamState>) -> HashMap<KeyDigest, WorkspaceId> {
    let trees = teams
        .iter()
        .filter_map(|(team, state)| Some((team, state.tree.as_deref()?)));
    let mut keys = HashMap::new();
    for (team, tree) in trees {
        for spec in tree.keys.values().filter(|spec| !spec.withdrawn) {
            let id = WorkspaceId {
                team: team.clone(),
                name: spec.workspace.clone(),
            };
            keys.insert(spec.digest, id);
        }
    }
    keys
}
