#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/harness-2/main.rs
