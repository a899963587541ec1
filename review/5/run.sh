#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/snipespand ] && [ -x target/review/release/settings_change ] || exit 2
CASE_DIR=review/5 exec target/review/release/settings_change
