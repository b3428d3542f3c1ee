#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review-3. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
exec rustc --edition 2024 -O -o target/review-3 review/stand_in_3/main.rs
