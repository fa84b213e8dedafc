//! Authorization of a new request, before it is passed to admission.

use crate::decision::authorize::Authorized;
use crate::decision::authorize::Inbound;
use crate::decision::authorize::authorize;
use crate::decision::authorize::authorize_head;
use crate::decision::config::Config;
use crate::decision::memory::Owner;
use crate::decision::prefix::prefix_hashes;
use crate::decision::traffic::AdmissionRequest;
use crate::domain::error::ErrorKind;
use crate::domain::ids::WeightVersion;
use crate::domain::name::WorkspaceName;
use crate::domain::time::Time;

/// Snapshot of an entry's state for decisions on new requests.
#[derive(Clone, Copy, Debug)]
pub struct EntrySnapshot<'a> {
    /// Current configuration.
    pub config: &'a Config,
    /// `true` once the entry may serve requests.
    pub ready: bool,
    /// Time until which the known keys are fresh enough to check, or `None` if they are not.
    pub keys_until: Option<Time>,
}

impl EntrySnapshot<'_> {
    /// Returns `true` if the known keys are fresh enough to check a request.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.ready && self.keys_until.is_some_and(|until| now < until)
    }
}

/// Authorizes a request and returns it with the properties that admission needs.
pub fn authorize_request(
    snapshot: EntrySnapshot<'_>,
    now: Time,
    inbound: &Inbound,
) -> Result<(Authorized, AdmissionRequest), ErrorKind> {
    if !snapshot.ready {
        return Err(ErrorKind::KeysStale);
    }
    let authorized = authorize(snapshot.config, snapshot.is_fresh(now), inbound)?;
    let request = admission_request(&authorized, inbound, WeightVersion::default(), now);
    Ok((authorized, request))
}

/// Authorizes the head of a request and returns who is charged for its body. Nothing of the body of
/// an unknown caller is held.
pub fn authorize_body(
    snapshot: EntrySnapshot<'_>,
    now: Time,
    head: &Inbound,
) -> Result<Owner, ErrorKind> {
    if !snapshot.ready {
        return Err(ErrorKind::KeysStale);
    }
    let workspace = authorize_head(snapshot.config, snapshot.is_fresh(now), head)?;
    let name = format!("{}/{}", workspace.team, workspace.name);
    Ok(Owner::Workspace(WorkspaceName::from(name)))
}

/// Returns the properties of an authorized request that admission needs. `floor` is the oldest
/// weight version that may produce the answer.
pub fn admission_request(
    authorized: &Authorized,
    inbound: &Inbound,
    floor: WeightVersion,
    now: Time,
) -> AdmissionRequest {
    let completion = inbound.completion.clone().unwrap_or_default();
    AdmissionRequest {
        route: authorized.route.clone(),
        pool: authorized.pool.clone(),
        workspace: authorized.workspace.clone(),
        key: authorized.key,
        priority: authorized.priority,
        prefixes: prefix_hashes(&completion.prompt),
        min_version: floor,
        max_tokens: completion.max_tokens,
        deadline: now + authorized.deadline,
    }
}
