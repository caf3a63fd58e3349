#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. It uses the standard
# library only, and writes to target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/standins review/standins-2/main.rs
