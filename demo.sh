#!/usr/bin/env bash
# Shows one lookup crossing separate processes, whole and then truthfully partial.
set -euo pipefail
cd "$(dirname "$0")"

cargo build --quiet --workspace --locked
bin="${CARGO_TARGET_DIR:-target}/debug"
work=$(mktemp -d)
pids=()

stop_all() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

base=17900
daemons=(17201 17202 17203)
listed=()
for peer in "${daemons[@]}"; do listed+=(--daemon "127.0.0.1:$peer"); done

"$bin/standin" searchers --layout small --base-port "$base" --admin 127.0.0.1:17891 >/dev/null &
pids+=($!)
searchers=$!
"$bin/standin" platform --layout small --base-port "$base" --listen 127.0.0.1:17890 \
    --admin 127.0.0.1:17892 "${listed[@]}" >/dev/null &
pids+=($!)

for n in 1 2 3; do
    cat > "$work/daemon-$n.toml" <<EOF
[host]
zone = "hall-1a"
region = "hall-1"

[listen]
callers = "127.0.0.1:1710$n"
peers = "127.0.0.1:1720$n"
operators = "127.0.0.1:1730$n"

[platform]
addresses = ["127.0.0.1:17890"]
EOF
    "$bin/harefield" serve --settings "$work/daemon-$n.toml" >"$work/ready-$n" 2>"$work/log-$n" &
    pids+=($!)
done
for n in 1 2 3; do
    for _ in $(seq 100); do grep -q '^{"callers"' "$work/ready-$n" && break; sleep 0.1; done
    grep -q '^{"callers"' "$work/ready-$n" || { echo "daemon $n did not start:" >&2; cat "$work/ready-$n" "$work/log-$n" >&2; exit 1; }
done

echo "== every searcher answers: the coverage is whole"
"$bin/harefield" query --to 127.0.0.1:17101 parcels '{"street":"Mill Lane","number":7}'

echo "== both replicas of one shard stop while the lookup runs"
tell() { "$bin/standin" tell --admin 127.0.0.1:17891 "$@" >/dev/null; }
tell '/searchers/*' '{"service-ms":300}'
"$bin/harefield" query --to 127.0.0.1:17102 parcels '{"street":"Mill Lane","number":7}' >"$work/partial" &
query=$!
sleep 0.1
tell /searchers/parcels-01-0 '{"frozen":true}'
tell /searchers/parcels-01-1 '{"frozen":true}'
status=0
wait "$query" || status=$?
cat "$work/partial"
[ "$status" -eq 6 ] || { echo "expected a partial answer, exit 6, not $status" >&2; exit 1; }

echo "== why it was partial, from any daemon's operators' address"
request=$(sed -n 's/^  "request": "\(.*\)",$/\1/p' "$work/partial")
sleep 0.3
"$bin/harefield" explain "$request" --from 127.0.0.1:17301

echo "== a client account: no lookup without a key"
tell '/searchers/*' '{"service-ms":2,"frozen":false}'
key=belt-side-key
digest=$(printf %s "$key" | sha256sum | cut -d' ' -f1)
"$bin/standin" tell --admin 127.0.0.1:17892 /publish/config \
    "{\"accounts/sortdesk\":{\"keys\":[\"$digest\"],\"rate\":5,\"burst\":2}}" >/dev/null
sleep 1
"$bin/harefield" query --to 127.0.0.1:17103 parcels >"$work/refused" && exit 1
grep '"code"' "$work/refused"
echo "$key" >"$work/key"
"$bin/harefield" query --to 127.0.0.1:17103 parcels --key-file "$work/key" | grep '"code"'

kill "$searchers"
echo "== done"
