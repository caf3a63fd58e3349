#!/usr/bin/env bash
# Measures what control costs, for docs/CAPACITY.md: a fleet of idle daemons, one
# JSON line of figures for each.
#
#   fleet.sh DAEMONS [UPSTREAMS] [MADE-DAEMONS] [SECONDS] [ZONES]
set -euo pipefail
cd "$(dirname "$0")"

count=$1
upstreams=${2:-0}
made=${3:-0}
seconds=${4:-15}
zones=${5:-3}

cargo build --quiet --release --workspace --locked
bin="${CARGO_TARGET_DIR:-target}/release"
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

addresses=()
for ((n = 0; n < count; n++)); do
    addresses+=(--peer "127.0.0.1:$((21000 + n))" --operator "127.0.0.1:$((22000 + n))")
done
"$bin/standin" fleet --layout small --base-port 23000 --listen 127.0.0.1:18091 --pids "$work/pids" \
    --upstreams "$upstreams" --made-daemons "$made" --seconds "$seconds" "${addresses[@]}" &
fleet=$!
sleep 0.3
for ((n = 0; n < count; n++)); do
    cat >"$work/$n.toml" <<EOF
[host]
zone = "zone-$((n % zones))"
[listen]
callers = "127.0.0.1:$((20000 + n))"
peers = "127.0.0.1:$((21000 + n))"
operators = "127.0.0.1:$((22000 + n))"
[platform]
addresses = ["127.0.0.1:18091"]
[log]
level = "error"
EOF
    "$bin/harefield" serve --settings "$work/$n.toml" >/dev/null 2>"$work/log-$n" &
    pids+=($!)
done
echo "${pids[@]}" >"$work/pids"
wait "$fleet"
