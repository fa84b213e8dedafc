//! Authorization of a new request, before it is passed to admission.

use crate::decision::authorize::Authorized;
use crate::decision::authorize::Inbound;
use crate::decision::authorize::authorize;
use crate::decision::config::Config;
use crate::decision::prefix::prefixes;
use crate::decision::traffic::Ask;
use crate::domain::error::ErrorKind;
use crate::domain::ids::WeightVersion;
use crate::domain::time::Time;

/// Snapshot of an entry's state for decisions on new requests.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Current configuration.
    pub config: &'a Config,
    /// `true` once the entry may serve requests.
    pub ready: bool,
    /// Time until which the known keys are fresh enough to check, or `None` if they are not.
    pub keys: Option<Time>,
}

impl View<'_> {
    /// Returns `true` if the known keys are fresh enough to check a request.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.ready && self.keys.is_some_and(|until| now < until)
    }
}

/// Authorizes a request and returns it with the properties that admission needs.
pub fn enter(view: View<'_>, now: Time, inbound: &Inbound) -> Result<(Authorized, Ask), ErrorKind> {
    if !view.ready {
        return Err(ErrorKind::KeysStale);
    }
    let authorized = authorize(view.config, view.is_fresh(now), inbound)?;
    let ask = question(&authorized, inbound, WeightVersion::default(), now);
    Ok((authorized, ask))
}

/// Returns the properties of an authorized request that admission needs. `floor` is the oldest
/// weight version that may produce the answer.
pub fn question(
    authorized: &Authorized,
    inbound: &Inbound,
    floor: WeightVersion,
    now: Time,
) -> Ask {
    let completion = inbound.completion.clone().unwrap_or_default();
    Ask {
        route: authorized.route.clone(),
        pool: authorized.pool.clone(),
        workspace: authorized.workspace.clone(),
        key: authorized.key,
        priority: authorized.priority,
        prefixes: prefixes(&completion.prompt),
        floor,
        tokens: completion.tokens,
        deadline: now + authorized.deadline,
    }
}
