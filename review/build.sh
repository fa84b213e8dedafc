#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the review, and the project's own stand-ins that they use, in the
# repository's folder target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target
