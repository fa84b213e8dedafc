//! Active configuration of a node.

pub mod apply;
pub mod check;
pub mod diff;
pub mod fault;
mod naming;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
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

/// Declarations of a team at one revision.
#[derive(Clone, Debug)]
pub struct TeamState {
    /// Revision of the stored object.
    pub revision: Revision,
    /// Declarations, or `None` if the team was removed at this revision.
    pub tree: Option<Arc<TeamTree>>,
}

/// Accepted declarations of all teams, indexed for requests. Immutable once published.
#[derive(Clone, Debug, Default)]
pub struct Config {
    revision: Revision,
    /// Revision of the newest listing. Older states are outdated, including those of unknown teams.
    listed: Revision,
    teams: BTreeMap<TeamName, TeamState>,
    keys: HashMap<KeyDigest, WorkspaceId>,
}

/// Outcome of merging an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merge {
    /// The update is active.
    Applied,
    /// The node already has this revision or a newer one.
    Outdated,
}

impl Config {
    /// Returns the highest active revision.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the state of each known team, including removed ones.
    pub fn teams(&self) -> &BTreeMap<TeamName, TeamState> {
        &self.teams
    }

    /// Activates a team's state if it is newer than the known one.
    pub fn merge(&mut self, team: TeamName, state: TeamState) -> Merge {
        let merge = self.store(team, state);
        if merge == Merge::Applied {
            self.keys = index_keys(&self.teams);
        }
        merge
    }

    /// Merges a complete listing of the teams at a revision. Teams that are known from an older
    /// revision but not listed are removed. Teams whose tree could not be read keep their state.
    pub fn merge_listing(
        &mut self,
        teams: Vec<(TeamName, TeamState)>,
        unreadable: &[TeamName],
        revision: Revision,
    ) {
        let readable = teams.iter().map(|(team, _)| team);
        let listed: HashSet<TeamName> = readable.chain(unreadable).cloned().collect();
        let known = self.teams.keys();
        let removed: Vec<_> = known.filter(|team| !listed.contains(*team)).collect();
        let removed = removed.into_iter().cloned().collect::<Vec<_>>();
        for team in removed {
            let tree = None;
            self.store(team, TeamState { revision, tree });
        }
        for (team, state) in teams {
            self.store(team, state);
        }
        self.keys = index_keys(&self.teams);
        self.listed = self.listed.max(revision);
        self.advance(revision);
    }

    /// Records that the configuration is unchanged up to this revision.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Returns the workspace of a valid key, or `None` if the key is unknown or withdrawn.
    pub fn workspace_of(&self, digest: &KeyDigest) -> Option<&WorkspaceId> {
        self.keys.get(digest)
    }

    /// Returns the route with this id, or `None` if it is not declared.
    pub fn route(&self, id: &RouteId) -> Option<&RouteSpec> {
        self.tree(&id.team)?.routes.get(&id.name)
    }

    /// Returns the pool with this id, or `None` if it is not declared.
    pub fn pool(&self, id: &PoolId) -> Option<&PoolSpec> {
        self.tree(&id.team)?.pools.get(&id.name)
    }

    /// Returns the workspace with this id, or `None` if it is not declared.
    pub fn workspace(&self, id: &WorkspaceId) -> Option<&WorkspaceSpec> {
        self.tree(&id.team)?.workspaces.get(&id.name)
    }

    /// Returns the declarations of a team, or `None` if the team is unknown or removed.
    pub fn tree(&self, team: &TeamName) -> Option<&TeamTree> {
        self.teams.get(team)?.tree.as_deref()
    }

    /// Stores a team's state if it is newer than the known one.
    fn store(&mut self, team: TeamName, state: TeamState) -> Merge {
        let known = self.teams.get(&team);
        let outdated = state.revision <= self.listed;
        if outdated || known.is_some_and(|old| old.revision >= state.revision) {
            return Merge::Outdated;
        }
        self.revision = self.revision.max(state.revision);
        self.teams.insert(team, state);
        Merge::Applied
    }
}

/// Builds the index from key digest to workspace.
///
/// A digest that is withdrawn in any declaration, or claimed by two workspaces, is not valid. The
/// check before an apply rejects both, but concurrent applies to different teams can still cause
/// them, because each team is updated separately.
fn index_keys(teams: &BTreeMap<TeamName, TeamState>) -> HashMap<KeyDigest, WorkspaceId> {
    let trees = teams
        .iter()
        .filter_map(|(team, state)| Some((team, state.tree.as_deref()?)));
    let mut keys: HashMap<KeyDigest, Option<WorkspaceId>> = HashMap::new();
    for (team, tree) in trees {
        for spec in tree.keys.values() {
            let id = WorkspaceId {
                team: team.clone(),
                name: spec.workspace.clone(),
            };
            let claim = (!spec.withdrawn).then_some(id);
            keys.entry(spec.digest)
                .and_modify(|known| {
                    if *known != claim {
                        *known = None;
                    }
                })
                .or_insert(claim);
        }
    }
    let valid = keys.into_iter();
    valid
        .filter_map(|(digest, id)| Some((digest, id?)))
        .collect()
}
