#!/bin/sh
# Builds what the scripts in review/6 to review/10 start beside the program of the deploy file: the stand-ins, which
# depend on nothing but the standard library, and for review/6 the program of the landed commit 839a701, from this
# repository's history.
cd "$(dirname "$0")/.." || exit 2
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2 || exit 2
commit=839a701
source=target/review-2/src-$commit
[ -e "$source/Cargo.toml" ] || {
    mkdir -p "$source" && git archive "$commit" | tar -x -C "$source"
} || exit 2
top=$PWD
cd "$source" || exit 2
exec cargo build --release --locked --offline -p platform-adapter --target-dir "$top/target/review-2/old"
