#!/usr/bin/env bash
# Regenerates the committed code; needs `capnp` and `cargo install capnpc`.
set -euo pipefail
cd "$(dirname "$0")"
capnp compile -orust:../src/generated control.capnp
rustfmt --edition 2024 ../src/generated/control_capnp.rs
