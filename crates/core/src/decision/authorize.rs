//! Authorization of requests, and selection of what may be forwarded to a target.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::config::Config;
use crate::decision::expose::contains_key;
use crate::decision::expose::contains_known_key;
use crate::decision::sample::StepRecord;
use crate::domain::call::HeaderField;
use crate::domain::declare::Access;
use crate::domain::declare::Priority;
use crate::domain::declare::RepeatPolicy;
use crate::domain::declare::RouteSpec;
use crate::domain::declare::TargetKind;
use crate::domain::error::ErrorKind;
use crate::domain::key::KeyDigest;
use crate::domain::name::PoolId;
use crate::domain::name::RouteId;
use crate::domain::name::RouteName;
use crate::domain::name::TeamName;
use crate::domain::name::WorkspaceId;

/// Header fields that are forwarded to targets. All others are dropped, since they may hold a key.
const FORWARDED_FIELDS: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
    "x-request-tag",
];

/// Prefix of the paths that callers may use on a model engine.
const MODEL_PATH_PREFIX: &str = "/v1/";

/// Path of the completions endpoint of a model engine.
const COMPLETIONS_PATH: &str = "/v1/completions";

/// Methods that HTTP defines as idempotent and that may therefore run more than once.
const IDEMPOTENT_METHODS: [&str; 5] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

/// Request as received by a front end, independent of its wire format.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// HTTP method in upper case.
    pub method: Arc<str>,
    /// Path and query as received, with a leading slash.
    pub path: Arc<str>,
    /// Header fields with names in lower case.
    pub fields: Arc<[HeaderField]>,
    /// Body as received.
    pub body: Arc<[u8]>,
    /// Text values of the decoded body, or none if the front end cannot decode it.
    pub texts: Vec<String>,
    /// Parameters of a completions request, or `None` if the body is not one.
    pub completion: Option<Completion>,
}

/// Parameters of a completions request that decisions need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// `true` if the caller asks for server-sent events.
    pub streamed: bool,
    /// Text of the prompt. Its prefixes are compared with the cached ones of each target.
    pub prompt: Arc<str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// Authorized request, reduced to what may be forwarded to a target.
#[derive(Clone, Debug)]
pub struct Authorized {
    /// Route that the path names.
    pub route: RouteId,
    /// Pool that serves the route.
    pub pool: PoolId,
    /// Workspace that is charged for the request.
    pub workspace: WorkspaceId,
    /// Digest of the key, or `None` on an open route.
    pub key: Option<KeyDigest>,
    /// Path and query that the target receives.
    pub path: Arc<str>,
    /// Header fields that the target receives.
    pub fields: Arc<[HeaderField]>,
    /// `true` if the request may run more than once.
    pub idempotent: bool,
    /// Maximum duration from the arrival of the request to the end of the answer.
    pub deadline: Duration,
    /// Priority class of the workspace.
    pub priority: Priority,
}

/// Authorizes a request against the configuration.
///
/// `fresh` is `false` if this node cannot tell whether keys are still valid.
pub fn authorize(config: &Config, fresh: bool, inbound: &Inbound) -> Result<Authorized, ErrorKind> {
    let authorized = identify(config, fresh, inbound)?;
    check_model_request(config, &authorized, inbound)?;
    Ok(authorized)
}

/// Authorizes the head of a request, whose body has not been read, and returns the workspace that
/// is charged for it. The complete request must be authorized too.
pub fn authorize_head(
    config: &Config,
    fresh: bool,
    head: &Inbound,
) -> Result<WorkspaceId, ErrorKind> {
    identify(config, fresh, head).map(|authorized| authorized.workspace)
}

/// Finds the route and the workspace, and refuses requests that must not be forwarded.
fn identify(config: &Config, fresh: bool, inbound: &Inbound) -> Result<Authorized, ErrorKind> {
    let (route, rest) = split_path(&inbound.path)?;
    let spec = config.route(&route).ok_or(ErrorKind::NoRoute)?;
    if inbound.body.len() > spec.body as usize {
        return Err(ErrorKind::BodyTooLarge);
    }
    check_encoding(&inbound.fields)?;
    let key = presented_key(&inbound.fields)?;
    check_exposed_keys(config, key, rest, inbound)?;
    let (workspace, digest) = match &spec.access {
        Access::Open(payer) => (workspace_id(&route.team, payer), None),
        Access::Workspaces(allowed) => {
            let key = key.ok_or(ErrorKind::NoKey)?;
            let digest = KeyDigest::of(key);
            let workspace = workspace_of_key(config, fresh, &digest)?;
            let listed = allowed.contains(&workspace.name);
            if workspace.team != route.team || !listed {
                return Err(ErrorKind::WrongWorkspace);
            }
            (workspace.clone(), Some(digest))
        }
    };
    let limits = config.workspace(&workspace).ok_or(ErrorKind::NoRoute)?;
    let pool = PoolId {
        team: route.team.clone(),
        name: spec.pool.clone(),
    };
    Ok(Authorized {
        pool,
        idempotent: is_idempotent(spec, &inbound.method),
        deadline: Duration::from_secs(spec.deadline.into()),
        priority: limits.priority,
        path: Arc::from(rest),
        fields: forwarded(&inbound.fields),
        key: digest,
        workspace,
        route,
    })
}

/// Authorizes a request about a trainer step. It needs a key even on an open route, since the
/// samples belong to the workspace of the key.
pub fn authorize_step(
    config: &Config,
    fresh: bool,
    inbound: &Inbound,
) -> Result<Authorized, ErrorKind> {
    let authorized = identify(config, fresh, inbound)?;
    if authorized.key.is_none() {
        return Err(ErrorKind::NoKey);
    }
    Ok(authorized)
}

/// Authorizes a sample that the system generates for a step. `key` is the digest of the key in the
/// trainer's last call, which must still be valid.
pub fn authorize_sample(
    config: &Config,
    fresh: bool,
    record: &StepRecord,
    key: KeyDigest,
) -> Result<Authorized, ErrorKind> {
    let spec = config.route(&record.route).ok_or(ErrorKind::NoRoute)?;
    let workspace = workspace_of_key(config, fresh, &key)?;
    let listed = match &spec.access {
        Access::Workspaces(allowed) => allowed.contains(&workspace.name),
        Access::Open(_) => false,
    };
    if *workspace != record.workspace || !listed {
        return Err(ErrorKind::WrongWorkspace);
    }
    let json = HeaderField {
        name: Arc::from("content-type"),
        value: Arc::from(&b"application/json"[..]),
    };
    Ok(Authorized {
        route: record.route.clone(),
        pool: PoolId {
            team: record.route.team.clone(),
            name: spec.pool.clone(),
        },
        workspace: workspace.clone(),
        key: Some(key),
        path: Arc::from(COMPLETIONS_PATH),
        fields: Arc::from([json]),
        idempotent: true,
        deadline: Duration::from_secs(spec.deadline.into()),
        priority: Priority::Training,
    })
}

/// Returns `true` if requests of the route go to model engines.
pub fn is_model_route(config: &Config, route: &RouteId) -> bool {
    let pool = config.route(route).map(|spec| PoolId {
        team: route.team.clone(),
        name: spec.pool.clone(),
    });
    let spec = pool.and_then(|pool| config.pool(&pool));
    spec.is_some_and(|spec| spec.kind == TargetKind::Model)
}

/// Splits `/{team}/{route}/{rest}` into the route and `/{rest}`.
pub fn split_path(path: &str) -> Result<(RouteId, &str), ErrorKind> {
    let inner = path.strip_prefix('/').ok_or(ErrorKind::BadRequest)?;
    let (team, after) = inner.split_once('/').ok_or(ErrorKind::NoRoute)?;
    let end = after.find(['/', '?']).unwrap_or(after.len());
    let (name, rest) = after.split_at(end);
    if team.is_empty() || name.is_empty() || !rest.starts_with('/') {
        return Err(ErrorKind::NoRoute);
    }
    let route = RouteId {
        team: TeamName::from(team),
        name: RouteName::from(name),
    };
    Ok((route, rest))
}

/// Refuses a compressed body. The content encoding is not forwarded, and a key in the body could
/// not be found.
fn check_encoding(fields: &[HeaderField]) -> Result<(), ErrorKind> {
    let encoded = fields.iter().any(|field| {
        &*field.name == "content-encoding" && !field.value.eq_ignore_ascii_case(b"identity")
    });
    if encoded {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Returns the key in the header fields, or `None` without one. Two different keys are an error.
fn presented_key(fields: &[HeaderField]) -> Result<Option<&[u8]>, ErrorKind> {
    let mut found = None;
    for field in fields {
        let key = match &*field.name {
            "authorization" => bearer(&field.value).ok_or(ErrorKind::BadKey)?,
            "x-api-key" => &field.value,
            _ => continue,
        };
        if key.is_empty() || found.is_some_and(|other| other != key) {
            return Err(ErrorKind::BadKey);
        }
        found = Some(key);
    }
    Ok(found)
}

/// Returns the token of an authorization field with the scheme `Bearer`.
fn bearer(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then_some(token.trim_ascii())
}

/// Returns the workspace of a key. Fails if the key is unknown or keys cannot be checked.
fn workspace_of_key<'a>(
    config: &'a Config,
    fresh: bool,
    digest: &KeyDigest,
) -> Result<&'a WorkspaceId, ErrorKind> {
    if !fresh {
        return Err(ErrorKind::KeysStale);
    }
    config.workspace_of(digest).ok_or(ErrorKind::BadKey)
}

/// Refuses a request that contains its key, or any other valid key, where a target would see it.
fn check_exposed_keys(
    config: &Config,
    key: Option<&[u8]>,
    rest: &str,
    inbound: &Inbound,
) -> Result<(), ErrorKind> {
    let known = |digest: &KeyDigest| config.workspace_of(digest).is_some();
    let seen = |text: &[u8]| {
        key.is_some_and(|key| contains_key(text, key)) || contains_known_key(text, known)
    };
    let exposed = seen(rest.as_bytes())
        || seen(&inbound.body)
        || inbound.texts.iter().any(|text| seen(text.as_bytes()))
        || forwarded(&inbound.fields)
            .iter()
            .any(|field| seen(&field.value));
    if exposed {
        return Err(ErrorKind::KeyExposed);
    }
    Ok(())
}

/// Refuses a request for a model engine if its path is outside the completions interface, where
/// engines also accept orders, or if the front end could not parse its body.
fn check_model_request(
    config: &Config,
    authorized: &Authorized,
    inbound: &Inbound,
) -> Result<(), ErrorKind> {
    let pool = config.pool(&authorized.pool).ok_or(ErrorKind::NoRoute)?;
    if pool.kind != TargetKind::Model {
        return Ok(());
    }
    if !is_model_path(&authorized.path) {
        return Err(ErrorKind::NoRoute);
    }
    if inbound.completion.is_none() && !inbound.body.is_empty() {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Returns `true` if a path stays within the completions interface, however the engine normalizes
/// it.
fn is_model_path(rest: &str) -> bool {
    let path = rest.split('?').next().unwrap_or_default();
    let plain = !path.contains(['%', '\\', ';']);
    let segments = path.split('/').skip(1);
    plain
        && path.starts_with(MODEL_PATH_PREFIX)
        && segments.clone().all(|segment| !is_unsafe_segment(segment))
}

/// Returns `true` if a path segment is empty, `.` or `..`, so that normalization changes the path.
fn is_unsafe_segment(segment: &str) -> bool {
    matches!(segment, "" | "." | "..")
}

/// Returns the header fields that are forwarded to targets.
fn forwarded(fields: &[HeaderField]) -> Arc<[HeaderField]> {
    fields
        .iter()
        .filter(|field| FORWARDED_FIELDS.contains(&&*field.name))
        .cloned()
        .collect()
}

/// Returns `true` if a request of this route may run more than once.
fn is_idempotent(spec: &RouteSpec, method: &str) -> bool {
    match spec.repeat {
        RepeatPolicy::Always => true,
        RepeatPolicy::Never => false,
        RepeatPolicy::ByMethod => IDEMPOTENT_METHODS.contains(&method),
    }
}

/// Returns the id of a workspace in a team.
fn workspace_id(team: &TeamName, name: &crate::domain::name::WorkspaceName) -> WorkspaceId {
    WorkspaceId {
        team: team.clone(),
        name: name.clone(),
    }
}
