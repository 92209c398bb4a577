#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-rig-3 cargo build --release --locked --offline --manifest-path review/rig-3/Cargo.toml
