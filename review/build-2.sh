#!/bin/sh
# Builds the stand-ins of review/6 to review/10, after the build of the deploy
# file. Run in the repository root.
set -e
out=target/review-2
mkdir -p "$out"
for case in review/standin-2/*.c; do
	name=$(basename "$case" .c)
	[ "$name" = world ] && continue
	gcc -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation -o "$out/$name" "$case" \
		review/standin-2/world.c -ljansson -lpthread
done
