#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review, and the project's own stand-ins that they use, in the
# folder target/. It needs no network once the crates of the root Cargo.lock are in the cache.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/harness/Cargo.toml --target-dir target
