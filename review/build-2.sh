#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library only; nothing is fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/rig-2/main.rs
