#!/usr/bin/env bash
# Builds the stand-ins of the second review, which use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/probes"
cargo build --release --locked --offline --target-dir ../../target/probes
