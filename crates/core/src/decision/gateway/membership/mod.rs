//! Other gateways, the sources of watched objects, and the health of the store.

pub(super) mod evacuations;
pub(super) mod health;
pub(super) mod peers;
pub(super) mod pings;
pub(super) mod source;
pub(super) mod starts;
pub(super) mod takeover;
pub(super) mod watched;
pub(super) mod witness;
