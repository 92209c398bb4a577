#!/bin/sh
# Builds all stand-ins that the scripts of the cases start. They use the standard library only.
set -eu
cd "$(dirname "$0")/stand_ins"
cargo build --release --locked --offline --target-dir ../../target/review
