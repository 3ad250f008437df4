#!/usr/bin/env bash
# Starts a whole system as separate processes on loopback, uses it as a caller
# and as an operator, and ends every process that it started. With KEEP=1 it
# leaves the system running until Ctrl-C and prints where to find the binary,
# the settings, the logs and the process ids.
set -euo pipefail
cd "$(dirname "$0")/../.."

work=$(mktemp -d)
started=()
cleanup() {
  for p in "${started[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

bin="$work/tamarackswitch"
go build -o "$bin" ./cmd/tamarackswitch

run() { # NAME ARGS...
  local name=$1
  shift
  "$bin" "$@" >"$work/$name.log" 2>&1 &
  started+=($!)
  echo $! >"$work/$name.pid"
}

cp examples/loopback/routes.toml examples/loopback/pools.toml "$work"
run platform platform --listen 127.0.0.1:17900 --tables "$work" --blocks examples/loopback/blocks.txt
for port in 18081 18082 18083 18084; do
  run "backend-$port" backend --listen "127.0.0.1:$port" --slots 5
done

hosts="almaty-1-a:almaty-1:17010 almaty-1-b:almaty-1:17020 astana-1-a:astana-1:17030 astana-1-b:astana-1:17040"
settings() { # NAME DOMAIN PORT
  local name domain port other
  cat <<TOML
[host]
name = "$1"
domain = "$2"
[listen]
caller = "127.0.0.1:$3"
peer = "127.0.0.1:$(($3 + 1))"
admin = "127.0.0.1:$(($3 + 2))"
[platform]
url = "http://127.0.0.1:17900"
[limits]
lookup_cache = "1s"
[topology]
[[topology.domain]]
name = "almaty-1"
region = "almaty"
[[topology.domain]]
name = "astana-1"
region = "astana"
[[topology.link]]
from = "almaty"
to = "astana"
capacity = "280Mbit/s"
[peers]
key = "loopback-example-key"
TOML
  for other in $hosts; do
    IFS=: read -r name domain port <<<"$other"
    printf '[[peers.seed]]\nname = "%s"\ndomain = "%s"\npeer = "127.0.0.1:%d"\ncaller = "127.0.0.1:%d"\n' "$name" "$domain" $((port + 1)) "$port"
  done
}
for host in $hosts; do
  IFS=: read -r name domain port <<<"$host"
  settings "$name" "$domain" "$port" >"$work/$name.toml"
  "$bin" check "$work/$name.toml"
  run "$name" entry --settings "$work/$name.toml"
done

for _ in $(seq 100); do
  "$bin" call --entry 127.0.0.1:17010,127.0.0.1:17040 --route catalog /catalog/1 >/dev/null 2>&1 && break
  sleep 0.1
done

echo "== look-up of a client in astana"
"$bin" lookup --entry 127.0.0.1:17010 --client 10.2.0.1 --route catalog
echo "== a request and an order with an idempotency key"
"$bin" call --entry 127.0.0.1:17010 --route catalog /catalog/1
"$bin" call --entry 127.0.0.1:17010 --route orders --method POST --body "kit 7" --key new /orders
echo "== an operator drains a server"
"$bin" get pools --admin 127.0.0.1:17012 >"$work/edit.toml"
sed -i 's/{ address = "127.0.0.1:18081", domain = "almaty-1" }/{ address = "127.0.0.1:18081", domain = "almaty-1", drain = true }/' "$work/edit.toml"
"$bin" apply pools --admin 127.0.0.1:17012 --file "$work/edit.toml" --why "example"
sleep 2
"$bin" history pools --admin 127.0.0.1:17042
"$bin" status --admin 127.0.0.1:17042

if [ "${KEEP:-}" = 1 ]; then
  echo "== the system keeps running until Ctrl-C; in another terminal:"
  echo "cd $work"
  trap 'exit 0' INT TERM
  while true; do
    sleep 1 &
    wait $! || true
  done
fi
