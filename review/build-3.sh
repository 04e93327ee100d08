#!/bin/sh
# Builds the stand-ins of review/11 to review/15, after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
# This case uses the stand-ins of the second review.
cc -std=gnu11 -O2 -Wall -Wextra -Wno-format-truncation -pthread \
	-o "$out/lost_token" review/standin-3/owners/lost_token.c \
	review/standin-2/world.c $(pkg-config --cflags --libs jansson)
for case in takeover flap clock waiting; do
	cc -std=gnu11 -O2 -Wall -Wextra -pthread -o "$out/$case" \
		review/standin-3/world.c "review/standin-3/$case.c" \
		$(pkg-config --cflags --libs jansson)
done
