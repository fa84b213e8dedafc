//! The routing table: routes, workspaces, pools and limits of one version of the configuration.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use crate::domain::key::KeyDigest;
use crate::domain::name::PoolName;
use crate::domain::name::RouteName;
use crate::domain::name::WorkspaceName;

/// One version of the configuration. Immutable once it is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Version given by the operator. Higher is newer.
    pub version: u64,
    /// Routes by host, those with the longest prefix first.
    pub hosts: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Workspace of each key.
    pub keys: HashMap<KeyDigest, WorkspaceName>,
    /// Priorities of workspaces that replace those of routes.
    pub ranks: BTreeMap<WorkspaceName, u32>,
    /// True if requests on routes that are not open need a key.
    pub keyed: bool,
    /// Bounds of what callers may send.
    pub limits: CallerLimits,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: RouteName,
    /// Value of the host header.
    pub host: Arc<str>,
    /// Start of the path, with a slash at both ends.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for a request.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub objective: Duration,
    /// Pools with their shares of the requests.
    pub split: Vec<(PoolName, u32)>,
    /// Most targets that may run one request.
    pub attempts: u32,
    /// True if no key is needed.
    pub open: bool,
    /// Rank, 0 is the most urgent.
    pub rank: u32,
}

/// Kind of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// Batch jobs.
    Rollout(RolloutTerms),
}

/// Terms of the batch jobs of a route.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutTerms {
    /// Time from the first submission after which an item may be given up.
    pub retention: Duration,
    /// True if all tokens of a result must come from one version.
    pub single: bool,
}

/// Bounds of what a caller may send, and of how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head in bytes.
    pub head: usize,
    /// Largest request body in bytes.
    pub body: u64,
    /// Time that a connection may stay idle.
    pub idle: Duration,
}

/// Why a request has no route or workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

impl Default for CallerLimits {
    /// Returns the bounds that hold before the first configuration.
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 32 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

impl RouteTable {
    /// Finds the route with the longest prefix that starts the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|r| path.starts_with(r.prefix.as_ref()))
    }

    /// Finds the workspace of a key.
    pub fn workspace(&self, key: Option<&[u8]>) -> Result<WorkspaceName, Denial> {
        let key = key.ok_or(Denial::UnknownKey)?;
        let found = self.keys.get(&KeyDigest::of(key));
        found.cloned().ok_or(Denial::UnknownKey)
    }

    /// Finds the workspace that a request on a route runs for, or none on an open route.
    pub fn admit(
        &self,
        route: &Route,
        key: Option<&[u8]>,
    ) -> Result<Option<WorkspaceName>, Denial> {
        if route.open || !self.keyed {
            return Ok(None);
        }
        self.workspace(key).map(Some)
    }

    /// Returns the rank of a workspace on a route. That of the workspace takes precedence.
    pub fn rank(&self, route: &Route, workspace: Option<&WorkspaceName>) -> u32 {
        let own = workspace.and_then(|workspace| self.ranks.get(workspace));
        own.copied().unwrap_or(route.rank)
    }

    /// Sorts the routes of each host so that the longest prefix comes first.
    pub fn sort(&mut self) {
        for routes in self.hosts.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
    }
}

impl Route {
    /// Chooses a pool by the shares of the split. `draw` is a random number.
    pub fn pool(&self, draw: u64) -> Option<&PoolName> {
        let total: u64 = self.split.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = draw % total.max(1);
        for (pool, weight) in &self.split {
            if left < u64::from(*weight) {
                return Some(pool);
            }
            left -= u64::from(*weight);
        }
        None
    }

    /// Returns the terms of batch jobs.
    pub fn rollout(&self) -> Option<RolloutTerms> {
        match self.kind {
            RouteKind::Rollout(terms) => Some(terms),
            RouteKind::Safe | RouteKind::Unsafe => None,
        }
    }

    /// Tells whether all events of a text must come from one version.
    pub fn is_single(&self) -> bool {
        self.rollout().is_some_and(|terms| terms.single)
    }
}
