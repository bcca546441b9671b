#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 with the compiler alone: no crate, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/stage-2.rs -o target/review/stage-2
