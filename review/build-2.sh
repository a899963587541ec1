#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins2"
cargo build --release --locked --offline
