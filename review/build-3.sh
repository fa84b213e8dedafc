#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one program without dependencies. Run it in the repository's
# root, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review3
rustc --edition 2024 -C opt-level=2 -o target/review3/lab review/stand3/main.rs
