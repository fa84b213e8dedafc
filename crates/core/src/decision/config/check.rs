//! Validation of a complete declaration set before any part of it is accepted.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;

use crate::decision::config::fault::Fault;
use crate::decision::config::fault::Reason;
use crate::decision::config::naming;
use crate::domain::declare::Access;
use crate::domain::declare::PoolSpec;
use crate::domain::declare::RouteSpec;
use crate::domain::declare::Scheme;
use crate::domain::declare::TargetKind;
use crate::domain::declare::TargetSpec;
use crate::domain::declare::TeamTree;
use crate::domain::declare::WorkspaceSpec;
use crate::domain::key::KeyDigest;
use crate::domain::name::KeyName;
use crate::domain::name::TargetName;
use crate::domain::name::TeamName;
use crate::domain::name::WorkspaceName;

/// Maximum weight of a workspace in the fair queue. A larger ratio would starve the other
/// workspaces.
const MAX_SHARE: u32 = 1_000;

/// Maximum number of running or of queued requests of a workspace at one entry.
const MAX_REQUESTS: u32 = 100_000;

/// Maximum deadline of a route in seconds. The drain limit of a process must exceed it.
const MAX_DEADLINE_SECONDS: u32 = 600;

/// Maximum size of a request body in bytes, as limited by the caller interface.
const MAX_BODY_BYTES: u32 = 1 << 20;

/// Declaration trees by team name.
pub type Trees = BTreeMap<TeamName, TeamTree>;

/// Checks a declaration set for consistency, also with the stored trees of all teams.
///
/// Returns all faults, in the order of the set.
pub fn check(set: &Trees, stored: &Trees) -> Vec<Fault> {
    let mut checker = Checker::default();
    for (team, tree) in set {
        checker.check_tree(team, tree);
    }
    checker.check_owners(set, stored);
    for (team, tree) in set {
        if let Some(old) = stored.get(team) {
            checker.check_retained_keys(team, tree, old);
        }
    }
    checker.faults
}

/// Collects the faults found so far.
#[derive(Default)]
struct Checker {
    faults: Vec<Fault>,
}

/// Team and name of the declaration that owns a digest or target.
type Owner<'a> = (&'a TeamName, &'a str);

impl Checker {
    fn add_fault(&mut self, path: &[&str], reason: Reason) {
        let path = ["teams"].iter().chain(path);
        self.faults.push(Fault {
            path: path.map(ToString::to_string).collect(),
            reason,
        });
    }

    fn check_tree(&mut self, team: &TeamName, tree: &TeamTree) {
        let name = team.as_str();
        if !naming::is_team_name(name) {
            self.add_fault(&[name], Reason::TeamName);
        }
        self.check_names(name, tree);
        for (workspace, spec) in &tree.workspaces {
            self.check_workspace(&[name, "workspaces", workspace.as_str()], spec);
        }
        for (key, spec) in &tree.keys {
            let path = [name, "keys", key.as_str(), "workspace"];
            self.check_workspace_exists(&path, tree, &spec.workspace);
        }
        for (pool, spec) in &tree.pools {
            self.check_pool(&[name, "pools", pool.as_str()], spec);
        }
        for (route, spec) in &tree.routes {
            self.check_route(&[name, "routes", route.as_str()], tree, spec);
        }
    }

    fn check_names(&mut self, team: &str, tree: &TeamTree) {
        let workspaces = tree.workspaces.keys().map(|n| ("workspaces", n.as_str()));
        let keys = tree.keys.keys().map(|n| ("keys", n.as_str()));
        let pools = tree.pools.keys().map(|n| ("pools", n.as_str()));
        let routes = tree.routes.keys().map(|n| ("routes", n.as_str()));
        for (kind, name) in workspaces.chain(keys).chain(pools).chain(routes) {
            self.check_name(tree.scheme, &[team, kind, name], name);
        }
    }

    fn check_name(&mut self, scheme: Scheme, path: &[&str], name: &str) {
        if !naming::follows(scheme, name) {
            self.add_fault(path, Reason::NameScheme(scheme));
        }
    }

    fn check_workspace(&mut self, path: &[&str], spec: &WorkspaceSpec) {
        self.check_range(path, "share", spec.share, 1, MAX_SHARE);
        self.check_range(path, "concurrency", spec.concurrency, 1, MAX_REQUESTS);
        self.check_range(path, "queue", spec.queue, 0, MAX_REQUESTS);
    }

    fn check_range(&mut self, path: &[&str], field: &str, value: u32, min: u32, max: u32) {
        if !(min..=max).contains(&value) {
            let path = [path, &[field]].concat();
            let (min, max) = (min.into(), max.into());
            self.add_fault(&path, Reason::Range { min, max });
        }
    }

    fn check_workspace_exists(&mut self, path: &[&str], tree: &TeamTree, name: &WorkspaceName) {
        if !tree.workspaces.contains_key(name) {
            let reason = Reason::Missing {
                kind: "workspace",
                name: name.to_string(),
            };
            self.add_fault(path, reason);
        }
    }

    fn check_pool(&mut self, path: &[&str], spec: &PoolSpec) {
        match (spec.kind, &spec.model) {
            (TargetKind::Model, None) => self.add_fault(path, Reason::ModelMissing),
            (TargetKind::Plain, Some(_)) => {
                self.add_fault(&[path, &["model"]].concat(), Reason::ModelUnused);
            }
            (TargetKind::Model, Some(model)) if !naming::is_plain_name(model.as_str()) => {
                self.add_fault(&[path, &["model"]].concat(), Reason::PlainName);
            }
            _ => {}
        }
        let max = u32::try_from(spec.targets.len()).unwrap_or(u32::MAX);
        self.check_range(path, "floor", spec.floor, 0, max);
        for (target, target_spec) in &spec.targets {
            let path = [path, &["targets", target.as_str()]].concat();
            self.check_target(&path, target, target_spec);
        }
    }

    fn check_target(&mut self, path: &[&str], name: &TargetName, spec: &TargetSpec) {
        if !naming::is_plain_name(name.as_str()) {
            self.add_fault(path, Reason::PlainName);
        }
        if !naming::is_plain_name(spec.centre.as_str()) {
            self.add_fault(&[path, &["centre"]].concat(), Reason::PlainName);
        }
        if spec.agent.port() == 0 || spec.agent.ip().is_unspecified() {
            self.add_fault(&[path, &["agent"]].concat(), Reason::Address);
        }
    }

    fn check_route(&mut self, path: &[&str], tree: &TeamTree, spec: &RouteSpec) {
        if !tree.pools.contains_key(&spec.pool) {
            let reason = Reason::Missing {
                kind: "pool",
                name: spec.pool.to_string(),
            };
            self.add_fault(&[path, &["pool"]].concat(), reason);
        }
        self.check_range(path, "deadline", spec.deadline, 1, MAX_DEADLINE_SECONDS);
        self.check_range(path, "body", spec.body, 0, MAX_BODY_BYTES);
        match &spec.access {
            Access::Open(workspace) => {
                let path = [path, &["access", "open"]].concat();
                self.check_workspace_exists(&path, tree, workspace);
            }
            Access::Workspaces(names) => {
                let path = [path, &["access", "workspaces"]].concat();
                self.check_access(&path, tree, names);
            }
        }
    }

    fn check_access(&mut self, path: &[&str], tree: &TeamTree, names: &[WorkspaceName]) {
        if names.is_empty() {
            self.add_fault(path, Reason::Empty);
        }
        let mut seen = HashSet::new();
        for (i, name) in names.iter().enumerate() {
            let index = i.to_string();
            let path = [path, &[index.as_str()]].concat();
            self.check_workspace_exists(&path, tree, name);
            if !seen.insert(name) {
                self.add_fault(&path, Reason::Duplicate);
            }
        }
    }

    /// Checks that each digest has one key and each target one agent, across all teams. The set
    /// replaces the stored trees of its teams, so these are ignored.
    fn check_owners(&mut self, set: &Trees, stored: &Trees) {
        let others = stored.iter().filter(|(team, _)| !set.contains_key(*team));
        let mut digests: HashMap<KeyDigest, Owner<'_>> = HashMap::new();
        let mut names: HashMap<&TargetName, (Owner<'_>, SocketAddr)> = HashMap::new();
        let mut agents: HashMap<SocketAddr, Owner<'_>> = HashMap::new();
        for (team, tree) in others.chain(set) {
            for (key, spec) in &tree.keys {
                if let Some(owner) = digests.get(&spec.digest) {
                    let path = [team.as_str(), "keys", key.as_str(), "digest"];
                    let reason = Reason::SharedDigest {
                        team: owner.0.clone(),
                        key: owner.1.to_owned(),
                    };
                    self.add_fault(&path, reason);
                }
                digests.entry(spec.digest).or_insert((team, key.as_str()));
            }
            for (pool, name, spec) in targets(tree) {
                let owner = (team, name.as_str());
                let by_name = names.entry(name).or_insert((owner, spec.agent));
                let by_agent = agents.entry(spec.agent).or_insert(owner);
                let other = match (by_name.1 == spec.agent, by_agent.1 == name.as_str()) {
                    (true, true) => continue,
                    (false, _) => by_name.0,
                    (true, false) => *by_agent,
                };
                let path = [team.as_str(), "pools", pool, "targets", name.as_str()];
                let reason = Reason::SharedTarget {
                    team: other.0.clone(),
                    target: other.1.to_owned(),
                };
                self.add_fault(&path, reason);
            }
        }
    }

    /// Checks that accepted keys stay declared with the same digest, and that withdrawn keys stay
    /// withdrawn.
    ///
    /// Without this rule, applying an older file could reactivate a withdrawn key.
    fn check_retained_keys(&mut self, team: &TeamName, tree: &TeamTree, old: &TeamTree) {
        for (key, accepted) in &old.keys {
            let path = [team.as_str(), "keys", key.as_str()];
            match tree.keys.get::<KeyName>(key) {
                None => self.add_fault(&path, Reason::KeyDropped),
                Some(spec) if spec.digest != accepted.digest => {
                    self.add_fault(&[&path[..], &["digest"]].concat(), Reason::DigestChanged);
                }
                Some(spec) if accepted.withdrawn && !spec.withdrawn => {
                    self.add_fault(&path, Reason::Withdrawn);
                }
                Some(_) => {}
            }
        }
    }
}

/// Returns the targets of all pools of a tree, with their pools.
fn targets(tree: &TeamTree) -> impl Iterator<Item = (&str, &TargetName, &TargetSpec)> {
    tree.pools.iter().flat_map(|(pool, spec)| {
        let targets = spec.targets.iter();
        targets.map(move |(name, target)| (pool.as_str(), name, target))
    })
}
