//! Declarations that operators write, one tree for each team.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::domain::key::KeyDigest;
use crate::domain::name::CentreName;
use crate::domain::name::KeyName;
use crate::domain::name::ModelName;
use crate::domain::name::PoolName;
use crate::domain::name::RouteName;
use crate::domain::name::TargetName;
use crate::domain::name::WorkspaceName;

/// All declarations of one team. Stored as one object, so a change is atomic.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamTree {
    /// Naming scheme that every name in the tree must follow.
    pub scheme: Scheme,
    /// Workspaces by name.
    #[serde(default)]
    pub workspaces: BTreeMap<WorkspaceName, WorkspaceSpec>,
    /// Keys by name. Only digests are stored, never the keys themselves.
    #[serde(default)]
    pub keys: BTreeMap<KeyName, KeySpec>,
    /// Target pools by name.
    #[serde(default)]
    pub pools: BTreeMap<PoolName, PoolSpec>,
    /// Routes by name.
    #[serde(default)]
    pub routes: BTreeMap<RouteName, RouteSpec>,
}

/// A naming scheme.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scheme {
    /// Lower-case words joined by hyphens, for example `dream-diary`.
    Slug,
    /// Two or more lower-case words joined by dots, for example `press.caxias.diary`.
    Dotted,
    /// Two to four capitals, a hyphen and five digits, for example `WS-00417`.
    Coded,
}

/// A workspace and its limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkspaceSpec {
    /// Weight in the fair queue, at least 1.
    pub share: u32,
    /// Maximum number of requests that run at once.
    pub concurrency: u32,
    /// Maximum number of queued requests.
    pub queue: u32,
    /// Maximum rate in tokens per second, averaged over ten seconds. Zero means no limit.
    pub rate: u64,
    /// Priority class of requests that do not state one.
    pub priority: Priority,
}

/// A key of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySpec {
    /// Workspace for which requests with this key run.
    pub workspace: WorkspaceName,
    /// SHA-256 digest of the key.
    pub digest: KeyDigest,
    /// True once the key is withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Kind of all targets in the pool.
    pub kind: TargetKind,
    /// Model that the targets serve. Required for model pools, absent for plain ones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Targets of the pool with the addresses of their agents.
    pub targets: BTreeMap<TargetName, TargetSpec>,
    /// Minimum number of targets that stay started.
    #[serde(default)]
    pub floor: u32,
}

/// One target of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSpec {
    /// IP address and port of the agent beside the target.
    pub agent: std::net::SocketAddr,
    /// Data centre of the target.
    pub centre: CentreName,
    /// True if the target itself rejects old fencing tokens.
    #[serde(default)]
    pub fences: bool,
}

/// A route from callers to a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Pool that serves the route.
    pub pool: PoolName,
    /// Who may use the route.
    pub access: Access,
    /// Which calls may be repeated.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// Maximum time from the arrival of a request to the end of its answer, in seconds.
    #[serde(default = "default_deadline")]
    pub deadline: u32,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "default_body")]
    pub body: u32,
}

/// Who may use a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Access {
    /// Callers with a key of one of these workspaces.
    Workspaces(Vec<WorkspaceName>),
    /// Everyone, without a key. Requests run for the named workspace, which is charged for them.
    Open(WorkspaceName),
}

/// Which calls of a route are idempotent and may therefore be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatPolicy {
    /// By HTTP method: GET, HEAD, OPTIONS, PUT and DELETE are idempotent.
    #[default]
    ByMethod,
    /// Every call may be repeated, as with model completions.
    Always,
    /// No call may be repeated.
    Never,
}

/// Priority class, most urgent first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Samples for trainers.
    Training,
    /// Interactive calls, for whose answer a person waits.
    #[default]
    Interactive,
    /// Background calls, for whose answer nobody waits.
    Batch,
}

/// Kind of target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetKind {
    /// A model engine with the completions interface.
    Model,
    /// A plain HTTP service.
    Plain,
}

impl Default for WorkspaceSpec {
    fn default() -> Self {
        Self {
            share: 1,
            concurrency: 64,
            queue: 256,
            rate: 0,
            priority: Priority::default(),
        }
    }
}

/// Returns the default deadline of a route in seconds.
fn default_deadline() -> u32 {
    120
}

/// Returns the default body limit of a route in bytes.
fn default_body() -> u32 {
    1 << 20
}
