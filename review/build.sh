#!/bin/sh
# Builds the stand-ins that the scripts start; needs only the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standin/main.rs
