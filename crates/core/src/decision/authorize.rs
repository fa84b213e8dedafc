//! Decides for which workspace a request runs, and what of it may reach a target.

use std::sync::Arc;
use std::time::Duration;

use crate::decision::config::Config;
use crate::decision::expose::exposes;
use crate::decision::expose::holds_known;
use crate::decision::sample::StepRecord;
use crate::domain::call::Field;
use crate::domain::declare::Access;
use crate::domain::declare::Priority;
use crate::domain::declare::Repeat;
use crate::domain::declare::RouteSpec;
use crate::domain::declare::TargetKind;
use crate::domain::error::ErrorKind;
use crate::domain::key::KeyDigest;
use crate::domain::name::PoolId;
use crate::domain::name::RouteId;
use crate::domain::name::RouteName;
use crate::domain::name::TeamName;
use crate::domain::name::WorkspaceId;

/// Header fields that are passed on to targets. No other field can carry a key to a target.
const FORWARDED: [&str; 6] = [
    "accept",
    "accept-language",
    "content-type",
    "if-match",
    "if-none-match",
    "x-request-tag",
];

/// Start of the paths that callers may reach on a model engine.
const MODEL_PATHS: &str = "/v1/";

/// Path of a completions request at a model engine.
const SAMPLE_PATH: &str = "/v1/completions";

const METHODS_IDEMPOTENT: [&str; 5] = ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"];

/// A request as a front end received it, free of any wire format.
#[derive(Clone, Debug)]
pub struct Inbound {
    /// Method in capitals.
    pub method: Arc<str>,
    /// Path and query as sent, with a leading slash.
    pub path: Arc<str>,
    /// Header fields with names in lower case.
    pub fields: Arc<[Field]>,
    /// Body as sent.
    pub body: Arc<[u8]>,
    /// The text values of the body after decoding, if the front end can decode it.
    pub texts: Vec<String>,
    /// What the front end read of a completions request.
    pub completion: Option<Completion>,
}

/// The part of a completions request that decisions need.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Completion {
    /// True if the caller wants server-sent events.
    pub streamed: bool,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Most tokens to generate.
    pub tokens: u32,
}

/// A request that may run, stripped of everything that is only for the system.
#[derive(Clone, Debug)]
pub struct Authorized {
    /// The route.
    pub route: RouteId,
    /// The pool that serves it.
    pub pool: PoolId,
    /// The workspace for which it runs and which pays.
    pub workspace: WorkspaceId,
    /// Digest of the key, or none on an open route.
    pub key: Option<KeyDigest>,
    /// Path and query for the target.
    pub path: Arc<str>,
    /// Header fields for the target.
    pub fields: Arc<[Field]>,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// Longest time to the end of the answer.
    pub deadline: Duration,
    /// Priority class.
    pub priority: Priority,
}

/// Authorizes a request against the configuration.
///
/// `fresh` is false if this node cannot tell whether keys are still valid.
pub fn authorize(config: &Config, fresh: bool, inbound: &Inbound) -> Result<Authorized, ErrorKind> {
    let authorized = identify(config, fresh, inbound)?;
    refuse_unfit(config, &authorized, inbound)?;
    Ok(authorized)
}

/// Finds the route and the workspace, and refuses what must not be passed on.
fn identify(config: &Config, fresh: bool, inbound: &Inbound) -> Result<Authorized, ErrorKind> {
    let (route, rest) = split_path(&inbound.path)?;
    let spec = config.route(&route).ok_or(ErrorKind::NoRoute)?;
    if inbound.body.len() > spec.body as usize {
        return Err(ErrorKind::BodyTooLarge);
    }
    refuse_encoded(&inbound.fields)?;
    let key = presented_key(&inbound.fields)?;
    refuse_exposed(config, key, rest, inbound)?;
    let (workspace, digest) = match &spec.access {
        Access::Open(payer) => (in_team(&route.team, payer), None),
        Access::Workspaces(allowed) => {
            let key = key.ok_or(ErrorKind::NoKey)?;
            let digest = KeyDigest::of(key);
            let workspace = keyed_workspace(config, fresh, &digest)?;
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
        idempotent: idempotent(spec, &inbound.method),
        deadline: Duration::from_secs(spec.deadline.into()),
        priority: limits.priority,
        path: Arc::from(rest),
        fields: forwarded(&inbound.fields),
        key: digest,
        workspace,
        route,
    })
}

/// Authorizes a request about a trainer's step. It needs a key also on an open route, since the
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

/// Authorizes a sample that the system itself generates for a step. The key is that of the
/// trainer's last call, and has to be valid still.
pub fn authorize_sample(
    config: &Config,
    fresh: bool,
    record: &StepRecord,
    key: KeyDigest,
) -> Result<Authorized, ErrorKind> {
    let spec = config.route(&record.route).ok_or(ErrorKind::NoRoute)?;
    let workspace = keyed_workspace(config, fresh, &key)?;
    let listed = match &spec.access {
        Access::Workspaces(allowed) => allowed.contains(&workspace.name),
        Access::Open(_) => false,
    };
    if *workspace != record.workspace || !listed {
        return Err(ErrorKind::WrongWorkspace);
    }
    let json = Field {
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
        path: Arc::from(SAMPLE_PATH),
        fields: Arc::from([json]),
        idempotent: true,
        deadline: Duration::from_secs(spec.deadline.into()),
        priority: Priority::Training,
    })
}

/// Returns true if requests of the route go to model engines.
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

/// Refuses a compressed body. Its encoding is not passed on, and a key inside it cannot be seen.
fn refuse_encoded(fields: &[Field]) -> Result<(), ErrorKind> {
    let encoded = fields.iter().any(|field| {
        &*field.name == "content-encoding" && !field.value.eq_ignore_ascii_case(b"identity")
    });
    if encoded {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Finds the key in its header. Two different keys are an error.
fn presented_key(fields: &[Field]) -> Result<Option<&[u8]>, ErrorKind> {
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

/// Returns the token of a `Bearer` authorization.
fn bearer(value: &[u8]) -> Option<&[u8]> {
    let (scheme, token) = value.split_at_checked(7)?;
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then_some(token.trim_ascii())
}

/// Finds the workspace of a key, if keys can be checked.
fn keyed_workspace<'a>(
    config: &'a Config,
    fresh: bool,
    digest: &KeyDigest,
) -> Result<&'a WorkspaceId, ErrorKind> {
    if !fresh {
        return Err(ErrorKind::KeysStale);
    }
    config.workspace_of(digest).ok_or(ErrorKind::BadKey)
}

/// Refuses a request that holds its key, or any other valid key, where a target could see it.
fn refuse_exposed(
    config: &Config,
    key: Option<&[u8]>,
    rest: &str,
    inbound: &Inbound,
) -> Result<(), ErrorKind> {
    let known = |digest: &KeyDigest| config.workspace_of(digest).is_some();
    let seen = |text: &[u8]| key.is_some_and(|key| exposes(text, key)) || holds_known(text, known);
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

/// Refuses what is no request for a model: a path outside the completions interface, where engines
/// take orders too, and a body that the front end could not read.
fn refuse_unfit(
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

/// Tells whether a path stays below the completions interface however an engine resolves it.
fn is_model_path(rest: &str) -> bool {
    let path = rest.split('?').next().unwrap_or_default();
    let plain = !path.contains(['%', '\\', ';']);
    let steps = path.split('/').skip(1);
    plain && path.starts_with(MODEL_PATHS) && steps.clone().all(|step| !is_dots(step))
}

/// Tells whether a step of a path would be dropped or go up when the path is resolved.
fn is_dots(step: &str) -> bool {
    matches!(step, "" | "." | "..")
}

/// Keeps the header fields that targets may see.
fn forwarded(fields: &[Field]) -> Arc<[Field]> {
    fields
        .iter()
        .filter(|field| FORWARDED.contains(&&*field.name))
        .cloned()
        .collect()
}

/// Tells whether a call of this route may run more than once.
fn idempotent(spec: &RouteSpec, method: &str) -> bool {
    match spec.repeat {
        Repeat::Always => true,
        Repeat::Never => false,
        Repeat::ByMethod => METHODS_IDEMPOTENT.contains(&method),
    }
}

/// Names a workspace of a team.
fn in_team(team: &TeamName, name: &crate::domain::name::WorkspaceName) -> WorkspaceId {
    WorkspaceId {
        team: team.clone(),
        name: name.clone(),
    }
}
