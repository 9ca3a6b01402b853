#!/usr/bin/env bash
# Starts the stand-ins and three nodes as separate processes on loopback,
# applies a configuration, sends calls, and stops everything again.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release -p rampthread -p rampthread-lab
bin=target/release
work=$(mktemp -d)
pids=()
stop() { for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done; wait; rm -rf "$work"; }
trap stop EXIT

run() { "$@" & pids+=($!); }
run $bin/rampthread-lab store --listen 127.0.0.1:8101
run $bin/rampthread-lab machines --listen 127.0.0.1:8102
# The demo key: 32 bytes of 7. Make your own: head -c 32 /dev/urandom | base64
key=$(printf '\007%.0s' {1..32} | base64)

: > "$work/mesh.toml"
cat >> "$work/mesh.toml" <<EOF
[[service]]
name = "glyphstore"

[[secret]]
name = "token"
value = "example-token"

[[route]]
name = "glyphs"
path = { prefix = "/glyphs" }
destinations = [{ service = "glyphstore" }]
timeout_ms = 2000
secret = "token"
EOF

for n in 1 2 3; do
  ip=127.0.0.1$n
  cat > "$work/node-$n.toml" <<EOF
[node]
id = "node-$n"
zone = "hall-$n"
region = "austin"
[listen]
callers = "$ip:7000"
peers = "$ip:7001"
api = "$ip:7002"
[platform]
store = "127.0.0.1:8101"
machines = "127.0.0.1:8102"
[keys]
current = "$key"
EOF
  cat >> "$work/mesh.toml" <<EOF

[[backend]]
name = "glyphstore-$n"
service = "glyphstore"
node = "node-$n"
address = "$ip:8000"
zone = "hall-$n"
region = "austin"
slots = 20
connections = 130
EOF
  run $bin/rampthread-lab backend --listen "$ip:8000" --service glyphstore
  until curl -sf -X PUT "http://127.0.0.1:8102/v1/machines" -d "{\"id\":\"node-$n\",\"address\":\"$ip:7001\",\"zone\":\"hall-$n\",\"region\":\"austin\"}"; do sleep 0.1; done
  run $bin/rampthread node --settings "$work/node-$n.toml" --log-level warn
done

$bin/rampthread check --settings "$work/node-1.toml" --resources "$work/mesh.toml"
until $bin/rampthread apply -f "$work/mesh.toml" --api 127.0.0.11:7002 --operation-id first; do sleep 0.5; done
timeout 20 $bin/rampthread watch --api 127.0.0.13:7002 --until-version 1
$bin/rampthread status --api 127.0.0.12:7002
for n in 1 2 3; do
  curl -sf -i "http://127.0.0.1$n:7000/glyphs/a" | tr -d '\r' | grep -i -E '^(HTTP|rampthread-)'
done
