#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: the standard library only, no packages.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standin-2 review/standin-2/main.rs
