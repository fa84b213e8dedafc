//! Names as shared immutable strings, with one type for each kind of named object.

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
    /// Name of a team, which owns one tree of declarations.
    TeamName
);
name_type!(
    /// Name of a workspace, unique within its team.
    WorkspaceName
);
name_type!(
    /// Name of a key declaration, unique within its team. It is not the key itself.
    KeyName
);
name_type!(
    /// Name of a route, unique within its team.
    RouteName
);
name_type!(
    /// Name of a target pool, unique within its team.
    PoolName
);
name_type!(
    /// Name of a target, which is one replica of a model engine or of a plain service.
    TargetName
);
name_type!(
    /// Id of the request that began a stream.
    StreamId
);
name_type!(
    /// Identity of a request that is the same when its caller sends it again under another id.
    Fingerprint
);
name_type!(
    /// Version of the software of a target, which is independent of its weight versions. Versions
    /// have no order.
    SoftwareVersion
);
name_type!(
    /// Name of a host.
    HostName
);
name_type!(
    /// Name of a data centre.
    CentreName
);
name_type!(
    /// Name of a region, which has one or more data centres.
    RegionName
);
name_type!(
    /// Name of a model that engines serve.
    ModelName
);
name_type!(
    /// Name of a trainer.
    TrainerName
);
name_type!(
    /// Name of a duty that at most one process performs at a time, for example `orders/cx1`.
    DutyName
);

name_type!(
    /// Id of a batch job, chosen by its caller.
    BatchId
);
name_type!(
    /// Id of an item of a batch job, chosen by its caller.
    ItemId
);
name_type!(
    /// Name of a group of items that share a prompt.
    GroupName
);

/// Name of a workspace together with its team, unique in the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceId {
    /// Team that owns the workspace.
    pub team: TeamName,
    /// Name within the team.
    pub name: WorkspaceName,
}

/// Name of a route together with its team, unique in the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteId {
    /// Team that owns the route.
    pub team: TeamName,
    /// Name within the team.
    pub name: RouteName,
}

/// Name of a pool together with its team, unique in the system.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolId {
    /// Team that owns the pool.
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
