#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
