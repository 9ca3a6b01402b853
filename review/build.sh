#!/bin/sh
# Builds the stand-ins of the review's scripts: one program, of the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/tools/rig.rs
