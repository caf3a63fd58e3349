#!/usr/bin/env bash
# Switches off what the policy believes in, one mechanism at a time, and plays days with
# and without it. Works on a copy of the tree, given as a scratch folder; what it plays is
# entered in that copy's journal.
#
#   ablate.sh SCRATCH FLEETBENCH JOBS "SITE DAY SEED" ... [-- NAME ...]
#
# A block of ablations.txt: a line `== NAME`, `file:`, and one line each `- OLD` and
# `+ NEW`, where OLD stands once in the file. Prints one line a mechanism: the mean worth
# of the days of each site. The name `nothing` plays the tree as it is.
set -euo pipefail
cd "$(dirname "$0")"
scratch=$1 bench=$2 jobs=$3
shift 3
plays=() names=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do plays+=("$1"); shift; done
if [ $# -gt 0 ]; then shift; names=("$@"); fi
tree="$scratch/tree"
mkdir -p "$scratch/reports"

fresh() { # a copy of the tree that keeps what was built and played
    mkdir -p "$tree"
    find "$tree" -mindepth 1 -maxdepth 1 ! -name target ! -name journal ! -name .git -exec rm -rf {} +
    git ls-files -z -- ':!journal' | xargs -0 cp --parents -p -t "$tree"
    [ -d "$tree/.git" ] || git -C "$tree" init --quiet
}

replace() { # file old new
    local path="$tree/$1" count line
    count=$(grep -cF -- "$2" "$path" || true)
    if [ "$count" -ne 1 ]; then echo "stale: its line stands $count times in $1" >&2; return 1; fi
    line=$(grep -nF -- "$2" "$path" | cut -d: -f1)
    { head -n $((line - 1)) "$path"; printf '%s\n' "$3"; tail -n +$((line + 1)) "$path"; } >"$scratch/new"
    cp "$scratch/new" "$path"
}

play() { # name site day seed
    local report
    report="$scratch/reports/$1-$(basename "$2" .toml)-$3-$4.json"
    (cd "$tree" && "$bench" run "$2" "$3" --seed "$4" --report "$report" --why "ablation, $1: $3 seed $4") >/dev/null
}
export -f play
export scratch tree bench

measure() { # name
    if ! (cd "$tree" && "$bench" build) >"$scratch/log" 2>&1; then
        echo "$1: does not build"; tail -5 "$scratch/log"; return
    fi
    printf '%s\n' "${plays[@]}" | xargs -P "$jobs" -I{} bash -c "play $1 {}"
    printf '%-22s' "$1"
    for site in $(printf '%s\n' "${plays[@]}" | cut -d' ' -f1 | uniq); do
        site=$(basename "$site" .toml)
        printf ' %s %s' "$site" "$(sed -n 's/^  "G": \([-0-9.]*\),$/\1/p' "$scratch/reports/$1-$site"-*.json |
            awk '{ sum += $1 } END { printf "%.4f (%d)", sum / NR, NR }')"
    done
    echo
}

wanted() { [ ${#names[@]} -eq 0 ] || printf '%s\n' "${names[@]}" | grep -qx -- "$1"; }

if wanted nothing; then fresh; measure nothing; fi
name=''
while IFS= read -r text; do
    case $text in
        '== '*) name=${text#== } ;;
        'file: '*) file=${text#file: } ;;
        '- '*) old=${text#- } ;;
        '+ '*) if wanted "$name"; then fresh; replace "$file" "$old" "${text#+ }" && measure "$name"; fi ;;
    esac
done <ablations.txt
