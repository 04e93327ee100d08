#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/waiting ] && [ -x target/programs/sassafrascartd ] || exit 2
exec target/review-3/waiting target/programs/sassafrascartd review/15
