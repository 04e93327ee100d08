#!/bin/sh
# Builds the stand-ins of the cases of the third review, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
for case in flap clock waiting takeover; do
	cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$case" \
		review/standin-3/world.c "review/standin-3/$case.c" \
		$(pkg-config --cflags --libs jansson)
done
