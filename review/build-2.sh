#!/bin/sh
# Builds the stand-ins of all cases: the second review's into target/review-2/, and the earlier
# review's by its own script. Both need the standard library alone; the cases themselves need the
# build of the deploy file as well.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
sh review/build.sh
