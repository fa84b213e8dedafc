//! Decides whether a request that has just come may ask for admission.

use crate::decision::authorize::Authorized;
use crate::decision::authorize::Inbound;
use crate::decision::authorize::authorize;
use crate::decision::config::Config;
use crate::decision::prefix::prefixes;
use crate::decision::traffic::Ask;
use crate::domain::error::ErrorKind;
use crate::domain::ids::WeightVersion;
use crate::domain::time::Time;

/// What an entry has published for decisions on new requests.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// True once the entry may serve.
    pub ready: bool,
    /// Time until which keys may be checked.
    pub keys: Option<Time>,
}

impl View<'_> {
    /// Tells whether keys may be checked at this time.
    pub fn is_fresh(&self, now: Time) -> bool {
        self.ready && self.keys.is_some_and(|until| now < until)
    }
}

/// Authorizes a request and builds its question for admission.
pub fn enter(view: View<'_>, now: Time, inbound: &Inbound) -> Result<(Authorized, Ask), ErrorKind> {
    if !view.ready {
        return Err(ErrorKind::KeysStale);
    }
    let authorized = authorize(view.config, view.is_fresh(now), inbound)?;
    let ask = question(&authorized, inbound, WeightVersion::default(), now);
    Ok((authorized, ask))
}

/// Builds the question for admission of an authorized request. `floor` is the lowest weight
/// version that may answer.
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
