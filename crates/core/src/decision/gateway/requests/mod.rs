//! Plain requests and streams: their targets, and what answers say about targets and requests.

pub(super) mod leaving;
pub(super) mod plain;
pub(super) mod streams;
pub(super) mod suspects;
