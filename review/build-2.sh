#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review's cases start: its own, and those of the earlier review, of
# which case 9 starts one. Needs no network. The program itself is built by `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")"
for crate in stand-2 stand; do
    (cd "$crate" && cargo build --release --locked --offline)
done
