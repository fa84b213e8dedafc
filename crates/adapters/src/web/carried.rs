//! Ids of the requests that a connection has carried.

use std::hash::BuildHasher;
use std::hash::RandomState;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use hyper::Request;

/// Number of requests after which a connection is not used again, which bounds the ids kept for it.
const MAX_REQUESTS: usize = 1_024;

/// Header by which servers name the request to which a response belongs.
#[derive(Clone, Debug)]
pub(super) struct IdHeader {
    name: HeaderName,
    /// Keys of the hashes of ids, which no caller can predict.
    hasher: RandomState,
}

/// Id of a request that is sent, or its absence.
#[derive(Clone, Debug)]
pub(super) struct SentId {
    name: HeaderName,
    value: Option<HeaderValue>,
    hash: IdHash,
    /// Whether the response may be the one to an earlier request.
    stale_allowed: bool,
}

/// Marks a request, in its extensions, whose response may be the one to an earlier request on the
/// connection. The caller has to cope with it.
#[derive(Clone, Copy, Debug)]
pub struct StaleAllowed;

/// Hash of the id of a request. Requests without an id share one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct IdHash(u64);

/// Ids that a connection has carried, in the order of their requests.
///
/// Two ids with the same hash only cost another connection.
#[derive(Debug, Default)]
pub(super) struct CarriedIds(Vec<IdHash>);

/// Request to which a response belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// The request that was sent, by its id.
    Named,
    /// The request that was sent, since the connection carried no other one.
    First,
    /// Perhaps an earlier request.
    Foreign,
}

impl IdHeader {
    pub(super) fn new(name: HeaderName) -> Self {
        let hasher = RandomState::new();
        Self { name, hasher }
    }

    /// Returns the id of a request.
    pub(super) fn sent_id<B>(&self, request: &Request<B>) -> SentId {
        let value = request.headers().get(&self.name).cloned();
        SentId {
            name: self.name.clone(),
            hash: IdHash(self.hasher.hash_one(&value)),
            value,
            stale_allowed: request.extensions().get::<StaleAllowed>().is_some(),
        }
    }
}

impl SentId {
    /// Returns the origin of a response with these headers. The connection has carried the other
    /// ids before, and this one for the first time.
    pub(super) fn origin(&self, carried: &CarriedIds, headers: &HeaderMap) -> Origin {
        let repeated = headers.get(&self.name);
        if repeated == self.value.as_ref() {
            return Origin::Named;
        }
        match repeated {
            None if carried.is_empty() => Origin::First,
            _ => Origin::Foreign,
        }
    }
}

impl CarriedIds {
    /// Returns `true` if the connection has carried no request.
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns `true` if the connection must not carry another request.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }

    /// Returns `true` if a request with this id may be sent on the connection.
    pub(super) fn allows(&self, id: &SentId) -> bool {
        id.stale_allowed || !self.0.contains(&id.hash)
    }

    /// Records that the connection has carried this id.
    pub(super) fn insert(&mut self, id: &SentId) {
        self.0.push(id.hash);
    }
}
