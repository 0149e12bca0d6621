#!/bin/sh
# Builds the stand-ins of the review's cases, which are one program without dependencies. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/rig.rs
