#!/bin/sh
# Builds the stand-ins of the cases of the second review, without a network. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/harness-2"
CARGO_TARGET_DIR=../../target/review-2 cargo build --release --locked --offline
