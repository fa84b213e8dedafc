//! Targets of each pool, resolved once for each configuration.

use std::collections::HashSet;
use std::net::SocketAddr;

use crate::decision::traffic::Traffic;
use crate::decision::traffic::target::Target;
use crate::decision::traffic::target::TargetKey;
use crate::domain::declare::TargetSpec;
use crate::domain::name::PoolId;
use crate::domain::name::TargetName;

/// One target of a pool. Look-ups by name cost most of a choice among a thousand targets, so the
/// choice walks a list of these.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) target: TargetKey,
    pub(super) name: TargetName,
    pub(super) agent: SocketAddr,
    /// True if the target is in another data centre than the entry.
    pub(super) far: bool,
}

impl Traffic {
    /// Resolves the targets of all pools and drops the state of those that no pool names.
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
                    far: spec.centre != self.centre,
                };
                let members = pool.targets.iter().map(member).collect();
                let id = PoolId {
                    team: team.clone(),
                    name: name.clone(),
                };
                self.members.insert(id, members);
            }
        }
        self.forget_targets();
    }

    /// Returns the key of a target, which is added if it is not known.
    pub(super) fn target_key(&mut self, name: &TargetName) -> TargetKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.targets.insert(Target::default());
        self.names.insert(name.clone(), key);
        key
    }

    /// Drops the state of targets that no pool names and that run no request of this entry.
    fn forget_targets(&mut self) {
        let members = self.members.values().flatten();
        let named: HashSet<_> = members.map(|member| member.target).collect();
        self.targets
            .retain(|key, target| named.contains(&key) || !target.is_unused());
        self.names.retain(|_, key| self.targets.contains_key(*key));
    }
}
