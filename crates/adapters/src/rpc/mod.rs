//! gRPC clients and servers of entries and agents.

pub mod client;
mod convert;
mod listen;
pub mod peer;
pub mod server;

/// Code generated from `proto/sardinepath.proto` by `sardinepath-codegen`. It is public for tests
/// that implement a client or server of their own.
#[doc(hidden)]
#[allow(missing_docs, clippy::all, clippy::too_many_lines)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/sardinepath.v1.rs");
}
