#!/bin/sh
# Builds the stand-ins of the scripts into target/review. Needs gcc and jansson,
# which are among the packages of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for name in timed poison stale label gang lapse one avoid route cancel silent; do
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -o "target/review/$name" \
		review/standin/world.c "review/standin/$name.c" \
		-ljansson -lpthread
done
