//! Names as shared immutable strings, one type for each kind of thing.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Defines a name type over `Arc<str>`, so that clones share one allocation.
macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(Arc::from(text))
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A team, the owner of one configuration subtree.
    TeamName
);
name_type!(
    /// A workspace within a team. Unique only together with its team.
    WorkspaceName
);
name_type!(
    /// A key declaration within a team. This is the name of the key, never its secret.
    KeyName
);
name_type!(
    /// A route within a team.
    RouteName
);
name_type!(
    /// A target pool within a team.
    PoolName
);
name_type!(
    /// A target: one replica of a model engine or of a plain service.
    TargetName
);
name_type!(
    /// A host.
    HostName
);
name_type!(
    /// A data centre.
    CentreName
);
name_type!(
    /// A model served by engines.
    ModelName
);
name_type!(
    /// A trainer.
    TrainerName
);
name_type!(
    /// A duty that at most one process performs at a time, for example `orders/cx1`.
    DutyName
);

name_type!(
    /// A batch job, named by its caller.
    BatchId
);
name_type!(
    /// An item of a batch job, named by its caller.
    ItemId
);
name_type!(
    /// A group of items that share a prompt.
    GroupName
);

/// A workspace together with its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceId {
    /// Owner of the workspace.
    pub team: TeamName,
    /// Name within the team.
    pub name: WorkspaceName,
}

/// A route together with its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteId {
    /// Owner of the route.
    pub team: TeamName,
    /// Name within the team.
    pub name: RouteName,
}

/// A pool together with its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolId {
    /// Owner of the pool.
    pub team: TeamName,
    /// Name within the team.
    pub name: PoolName,
}

impl fmt::Display for WorkspaceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl fmt::Display for RouteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}

impl fmt::Display for PoolId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.team, self.name)
    }
}
