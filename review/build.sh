#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline
