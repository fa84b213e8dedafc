//! Messages between the system's own processes, over `tonic`.

pub mod client;
mod convert;
mod listen;
pub mod peer;
pub mod server;

/// Code generated from `proto/sardinepath.proto` by `sardinepath-codegen`. Public for tests that
/// play the other side.
#[doc(hidden)]
#[allow(missing_docs, clippy::all, clippy::too_many_lines)]
#[rustfmt::skip]
pub mod generated {
    include!("generated/sardinepath.v1.rs");
}
