#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/celery-node ] && [ -x target/review/release/review-standins ] || exit 2
exec target/review/release/review-standins streams-after-restart review/4
