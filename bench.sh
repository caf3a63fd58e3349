#!/usr/bin/env bash
# Runs the experiments of docs/MEASUREMENTS.md: every scenario against every
# variant of the daemons' settings, one fleet at a time.
#
#   [COUNT=6] bench.sh caroni|licence [SECONDS] [SCENARIOS] [VARIANTS] [SCALE]
set -euo pipefail
cd "$(dirname "$0")"

layout=${1:-caroni}
seconds=${2:-8}
scenarios=${3:-"steady slow stragglers lost cold shedding lying overload new-snapshot frozen-daemon zone-gone platform-gone"}
variants=${4:-"chosen random fixed"}
scale=${5:-1}
count=${COUNT:-6}

cargo build --quiet --release --workspace --locked
bin="${CARGO_TARGET_DIR:-target}/release"
work=$(mktemp -d)
pids=()
stop_all() {
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

settings() { # number variant
    cat <<EOF
[host]
zone = "hall-1$([ $(($1 % 2)) -eq 0 ] && echo a || echo b)"
[listen]
callers = "127.0.0.1:1810$1"
peers = "127.0.0.1:1820$1"
operators = "127.0.0.1:1830$1"
[platform]
addresses = ["127.0.0.1:18090"]
[log]
level = "error"
EOF
    case $2 in
        chosen) ;;
        random) printf '[routing]\npolicy = "random"\nhedge = false\n' ;;
        fixed) printf '[routing]\npolicy = "random"\nfixed-ms = 20\n' ;;
        least) printf '[routing]\npolicy = "least-in-flight"\n' ;;
        two) printf '[routing]\npolicy = "two-choices"\n' ;;
        gcmu) printf '[routing]\npolicy = "generalized-c-mu"\n' ;;
        unhedged) printf '[routing]\nhedge = false\n' ;;
        events-off) printf '[events]\ndetail-every = 0\n' ;;
        events-off-two) printf '[events]\ndetail-every = 0\n' ;;
        *) echo "no variant $2" >&2; return 1 ;;
    esac
}

addresses=()
for ((n = 0; n < count; n++)); do
    addresses+=(--daemon "127.0.0.1:1810$n" --peer "127.0.0.1:1820$n" --operator "127.0.0.1:1830$n")
done

for scenario in $scenarios; do
    for variant in $variants; do
        pids=()
        rm -f "$work/pids"
        "$bin/standin" experiment --scenario "$scenario" --variant "$variant" --layout "$layout" \
            --base-port 18400 --listen 127.0.0.1:18090 --pids "$work/pids" --seconds "$seconds" \
            --scale "$scale" "${addresses[@]}" >"$work/line" &
        experiment=$!
        sleep 0.3
        for ((n = 0; n < count; n++)); do
            settings "$n" "$variant" >"$work/$n.toml"
            "$bin/harefield" serve --settings "$work/$n.toml" >/dev/null 2>"$work/log-$n" &
            pids+=($!)
        done
        echo "${pids[@]}" >"$work/pids"
        wait "$experiment"
        cat "$work/line" >>"$work/results"
        for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; done
    done
done
cp "$work/results" "${RESULTS:-/dev/null}"
"$bin/standin" table "$work/results"
