#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into target/review-3/.  To be run
# after the build of the deploy file; needs only the packages that the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p $out/long
build() { # SOURCES PROGRAM
  # shellcheck disable=SC2046
  cc -O1 -g -std=gnu11 -I. -Iinclude -Istandins -o "$out/$2" "$1"/standin-platform*.c \
    $(pkg-config --cflags --libs libsoup-3.0 json-glib-1.0 glib-2.0 gio-2.0)
}
build standins standin-platform
# The same with workers whose checkpoints are the address of an object, 157 characters and a number,
# in place of "work-" and a number.
cp standins/standin-platform*.c standins/standin-platform.h $out/long/
prefix="objects://checkpoints.example/volumes/$(printf '%0119d' 7)"
sed "s#^\\(\\#define CHECKPOINT_PREFIX\\) .*#\\1 \"$prefix-\"#" standins/standin-platform-workers.c \
  > $out/long/standin-platform-workers.c
build $out/long standin-long
