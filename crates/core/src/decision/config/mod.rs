//! The configuration in force on a node.

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
    /// Revision of the newest listing. It covers every older state, also of teams not known.
    listed: Revision,
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
        let merge = self.store(team, state);
        if merge == Merge::Applied {
            self.keys = index_keys(&self.teams);
        }
        merge
    }

    /// Merges a complete listing of the teams at a revision. A team that is known from an older
    /// revision and not listed was removed. Teams whose tree could not be read keep their state.
    pub fn merge_listing(
        &mut self,
        teams: Vec<(TeamName, TeamState)>,
        unreadable: &[TeamName],
        revision: Revision,
    ) {
        let readable = teams.iter().map(|(team, _)| team);
        let listed: HashSet<TeamName> = readable.chain(unreadable).cloned().collect();
        let known = self.teams.keys();
        let gone: Vec<_> = known.filter(|team| !listed.contains(*team)).collect();
        let gone = gone.into_iter().cloned().collect::<Vec<_>>();
        for team in gone {
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

    /// Stores a team's state if it is newer than what is known of the team.
    fn store(&mut self, team: TeamName, state: TeamState) -> Merge {
        let known = self.teams.get(&team);
        let covered = state.revision <= self.listed;
        if covered || known.is_some_and(|old| old.revision >= state.revision) {
            return Merge::Old;
        }
        self.revision = self.revision.max(state.revision);
        self.teams.insert(team, state);
        Merge::Applied
    }
}

/// Builds the index from key digest to workspace.
///
/// A digest that is withdrawn in any declaration, or claimed by two workspaces, is in no force.
/// The check of an apply refuses both, but it cannot exclude two applies to different teams at
/// the same time, since each team is updated by itself.
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
