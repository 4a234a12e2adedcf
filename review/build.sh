#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/review-case
