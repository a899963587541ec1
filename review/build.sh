#!/usr/bin/env bash
# Builds the stand-ins of the cases and their drivers. Needs no network: only the standard library is used.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
