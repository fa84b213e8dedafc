//! Differences between two declaration trees of a team.

use std::collections::BTreeMap;
use std::fmt;

use crate::domain::declare::TeamTree;
use crate::domain::name::TeamName;

/// Declaration that differs between two trees.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the declaration, for example `teams/print/routes/orders`.
    pub path: String,
    /// Kind of the difference.
    pub kind: DifferenceKind,
}

/// Kind of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DifferenceKind {
    /// Only the new tree contains the declaration.
    Added,
    /// The content of the declaration differs.
    Changed,
    /// Only the old tree contains the declaration.
    Removed,
}

/// Returns the declarations that differ. `old` is `None` if the team does not exist yet.
pub fn differences(team: &TeamName, old: Option<&TeamTree>, new: &TeamTree) -> Vec<Difference> {
    let root = format!("teams/{team}");
    let mut found = Vec::new();
    match old {
        None => found.push(difference(&root, "team", DifferenceKind::Added)),
        Some(old) if old.scheme != new.scheme => {
            found.push(difference(&root, "team", DifferenceKind::Changed));
        }
        Some(_) => {}
    }
    let path = |kind| format!("{root}/{kind}");
    let old_workspaces = old.map(|tree| &tree.workspaces);
    compare(
        &path("workspaces"),
        old_workspaces,
        &new.workspaces,
        &mut found,
    );
    compare(&path("keys"), old.map(|t| &t.keys), &new.keys, &mut found);
    compare(
        &path("pools"),
        old.map(|t| &t.pools),
        &new.pools,
        &mut found,
    );
    compare(
        &path("routes"),
        old.map(|t| &t.routes),
        &new.routes,
        &mut found,
    );
    found
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            DifferenceKind::Added => '+',
            DifferenceKind::Changed => '~',
            DifferenceKind::Removed => '-',
        };
        write!(f, "{sign} {}", self.path)
    }
}

fn compare<N: Ord + fmt::Display, S: PartialEq>(
    root: &str,
    old: Option<&BTreeMap<N, S>>,
    new: &BTreeMap<N, S>,
    found: &mut Vec<Difference>,
) {
    for (name, spec) in new {
        match old.and_then(|old| old.get(name)) {
            None => found.push(difference(root, name, DifferenceKind::Added)),
            Some(previous) if previous != spec => {
                found.push(difference(root, name, DifferenceKind::Changed));
            }
            Some(_) => {}
        }
    }
    for name in old.into_iter().flat_map(BTreeMap::keys) {
        if !new.contains_key(name) {
            found.push(difference(root, name, DifferenceKind::Removed));
        }
    }
}

fn difference(root: &str, name: impl fmt::Display, kind: DifferenceKind) -> Difference {
    let path = format!("{root}/{name}");
    Difference { path, kind }
}
