#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start; they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/standins3 cargo build --release --locked --offline \
    --manifest-path review/standins3/Cargo.toml
