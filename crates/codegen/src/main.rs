//! Generates the committed gRPC code from `proto/`.
//!
//! Run `cargo run -p sardinepath-codegen` from the workspace root after a change to the protocol.

use std::path::Path;

use anyhow::Context;
use anyhow::Result;

const PROTO_FILE: &str = "proto/sardinepath.proto";
const OUT_DIR: &str = "crates/adapters/src/rpc/generated";

fn main() -> Result<()> {
    let files =
        protox::compile([PROTO_FILE], ["proto"]).context("could not compile the protocol")?;
    std::fs::create_dir_all(OUT_DIR).context("could not create the output folder")?;
    tonic_prost_build::configure()
        .out_dir(Path::new(OUT_DIR))
        .bytes(".")
        .compile_fds(files)
        .context("could not write the generated code")
}
