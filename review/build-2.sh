#!/bin/sh
# Builds the stand-ins and the cases 4 to 6 into target/review-2, after the build of the deploy file. It needs
# what that build needs, and no network.
set -e
cd "$(dirname "$0")/.."
[ -f target/libringrock_parts.a ] || { echo "run the build of the deploy file first" >&2; exit 1; }
packages="glib-2.0 libmicrohttpd libcurl msgpack libconfuse gsl"
mkdir -p target/review-2
for number in 4 5 6; do
    [ -f "review/$number/case.c" ] || continue
    # shellcheck disable=SC2046
    cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Isrc -Ireview/standins-2 \
        $(pkg-config --cflags $packages) -o "target/review-2/case-$number" \
        "review/$number/case.c" review/standins-2/*.c target/libringrock_parts.a \
        $(pkg-config --libs $packages) -lglpk -lcidr -lpthread -lm -lstdc++
    echo "built target/review-2/case-$number"
done
