#!/bin/sh
# Builds the stand-ins of the second review: one program without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/harness-2/main.rs
