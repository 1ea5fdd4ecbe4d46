#!/usr/bin/env bash
# Builds the stand-ins of the scripts: one program of the standard library only, no dependency.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
rustc --edition 2024 -O review/harness/main.rs -o target/review/harness
