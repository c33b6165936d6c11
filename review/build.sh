#!/bin/sh
# Builds the stand-ins that the scripts of the review start. The daemons are built by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/main.rs
