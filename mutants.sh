#!/usr/bin/env bash
# Takes the guards of the promises out, one at a time, and shows that the tests
# named for them fail. Works on a copy of the tree, given as a scratch folder.
#
#   mutants.sh SCRATCH [NAME]
#
# A block of mutants.txt: a line `== NAME`, `file:`, `test: BINARY FILTER`, and
# one line each `- OLD` and `+ NEW`, where OLD stands once in the file.
set -euo pipefail
cd "$(dirname "$0")"
scratch=$1
only=${2:-}
mkdir -p "$scratch/tree"
export CARGO_TARGET_DIR="$scratch/target"
caught=0
missed=0

try() { # name file binary filter old new
    rm -rf "$scratch/tree" && mkdir -p "$scratch/tree"
    git ls-files -z | xargs -0 cp --parents -t "$scratch/tree"
    local path="$scratch/tree/$2" line count
    count=$(grep -cF -- "$5" "$path" || true)
    if [ "$count" -ne 1 ]; then echo "stale: $1: its line stands $count times in $2"; missed=$((missed + 1)); return; fi
    line=$(grep -nF -- "$5" "$path" | cut -d: -f1)
    { head -n $((line - 1)) "$path"; printf '%s\n' "$6"; tail -n +$((line + 1)) "$path"; } >"$scratch/new"
    cp "$scratch/new" "$path"
    local filters
    read -r -a filters <<<"$4"
    if ! (cd "$scratch/tree" && cargo test --quiet -p harefield --test "$3" --no-run) >"$scratch/log" 2>&1; then
        echo "does not build: $1"; tail -5 "$scratch/log"; missed=$((missed + 1)); return
    fi
    if (cd "$scratch/tree" && cargo test --quiet -p harefield --test "$3" -- "${filters[@]}") >"$scratch/log" 2>&1; then
        echo "MISSED: $1 by $3 $4"; missed=$((missed + 1))
    else
        echo "caught: $1 by $(grep -E '^test .*FAILED|^    [a-z_]+::' "$scratch/log" | grep -oE '[a-z_]+::[a-z_]+' | sort -u | tr '\n' ' ')"
        caught=$((caught + 1))
    fi
}

name=''
while IFS= read -r text; do
    case $text in
        '== '*) name=${text#== } ;;
        'file: '*) file=${text#file: } ;;
        'test: '*) rest=${text#test: }; binary=${rest%% *}; filter=${rest#* } ;;
        '- '*) old=${text#- } ;;
        '+ '*) new=${text#+ }
            if [ -z "$only" ] || [ "$only" = "$name" ]; then try "$name" "$file" "$binary" "$filter" "$old" "$new"; fi ;;
    esac
done <mutants.txt
echo "$caught caught, $missed missed"
[ "$missed" -eq 0 ]
