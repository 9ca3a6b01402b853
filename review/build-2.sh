#!/bin/sh
# Builds the stand-ins of the second review's cases, with the standard library alone, into
# target/review-2/. Needs the build of the deploy file for the cases themselves.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
