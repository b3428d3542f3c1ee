#!/bin/sh
# Builds the program that runs the scripts of review/6 to review/10, with its stand-ins. It needs only the standard
# library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/stand_in_2/main.rs
