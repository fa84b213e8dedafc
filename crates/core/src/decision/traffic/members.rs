//! List of the targets of each pool, built once for each configuration.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::target::Target;
use crate::decision::traffic::target::TargetKey;
use crate::domain::declare::TargetSpec;
use crate::domain::name::PoolId;
use crate::domain::name::TargetName;

/// One target of a pool. The balancer iterates over a list of these, since lookups by name
/// dominate the cost of a choice among a thousand targets.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) target: TargetKey,
    pub(super) name: TargetName,
    pub(super) agent: SocketAddr,
    /// `true` if the target is in another data centre than the entry.
    pub(super) remote: bool,
}

impl Traffic {
    /// Rebuilds the lists of members and drops the state of targets that are in no pool.
    pub(super) fn resolve_members(&mut self) {
        let config = self.config.clone();
        self.members.clear();
        let trees = config.teams().iter();
        for (team, tree) in trees.filter_map(|(team, t)| Some((team, t.tree.as_deref()?))) {
            for (name, pool) in &tree.pools {
                let member = |(name, spec): (&TargetName, &TargetSpec)| Member {
                    target: self.target_key(name),
                    name: name.clone(),
                    agent: spec.agent,
                    remote: spec.centre != self.centre,
                };
                let members = pool.targets.iter().map(member).collect();
                let id = PoolId {
                    team: team.clone(),
                    name: name.clone(),
                };
                self.members.insert(id, members);
            }
        }
        self.drop_unused_targets();
    }

    /// Returns the key of a target, adding the target if it is unknown.
    pub(super) fn target_key(&mut self, name: &TargetName) -> TargetKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.targets.insert(Target::default());
        self.names.insert(name.clone(), key);
        key
    }

    /// Drops the state of targets that are in no pool and run no request of this entry.
    fn drop_unused_targets(&mut self) {
        let members = self.members.values().flatten();
        let named: HashSet<_> = members.map(|member| member.target).collect();
        self.targets
            .retain(|key, target| named.contains(&key) || !target.is_unused());
        self.names.retain(|_, key| self.targets.contains_key(*key));
    }
}
