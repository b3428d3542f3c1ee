#!/bin/sh
# Runs the case with the programs of the deploy file; review/build-3.sh builds the stand-ins.
cd "$(dirname "$0")/../.."
[ -x target/review-3 ] || exit 2
exec target/review-3 cancelled review/15/record.txt
