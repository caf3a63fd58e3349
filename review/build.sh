#!/bin/sh
# Builds the stand-ins that the review's scripts start. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standins review/standins/main.rs
