#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review's cases start. Needs no network. The program itself
# is built by `build` of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
cargo build --release --locked --offline
