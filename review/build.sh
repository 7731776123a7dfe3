#!/usr/bin/env bash
# Builds the stand-ins of the cases with the toolchain alone, without any dependency.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc -O --edition 2021 -o target/review/cases review/standin/main.rs
