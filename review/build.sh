#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network: the package has no dependencies.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
