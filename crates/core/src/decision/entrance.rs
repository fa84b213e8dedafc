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

/// Authorizes a request and builds its question for admission.
pub fn enter(view: View<'_>, now: Time, inbound: &Inbound) -> Result<(Authorized, Ask), ErrorKind> {
    if !view.ready {
        return Err(ErrorKind::KeysStale);
    }
    let fresh = view.keys.is_some_and(|until| now < until);
    let authorized = authorize(view.config, fresh, inbound)?;
    let completion = inbound.completion.clone().unwrap_or_default();
    let ask = Ask {
        route: authorized.route.clone(),
        pool: authorized.pool.clone(),
        workspace: authorized.workspace.clone(),
        key: authorized.key,
        priority: authorized.priority,
        prefixes: prefixes(&completion.prompt),
        floor: WeightVersion::default(),
        tokens: completion.tokens,
        deadline: now + authorized.deadline,
    };
    Ok((authorized, ask))
}
