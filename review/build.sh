#!/bin/sh
# Builds the stand-ins of all cases, without a network: the crate has no dependencies.
set -e
cd "$(dirname "$0")/stand"
cargo build --release --locked --offline
