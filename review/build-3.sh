#!/bin/sh
# Builds the stand-ins of the third review, which the scripts of its cases start.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins-3/Cargo.toml --target-dir target/review-3
