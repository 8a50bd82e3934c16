#!/bin/bash
# Names that leave the process must not change: fields and values of messages, keys and stored fields
# of the key-value store, settings, flags, environment variables and thread names.
# Fails for each line of the list that is neither a whole string literal of src/ nor a key of a file
# in deploy/. Comments do not count.
# Usage: outer_names.sh SOURCE_DIR LIST
set -euo pipefail
source_dir=$1
list=$2
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

find "$source_dir/src" \( -name '*.c' -o -name '*.h' -o -name '*.cpp' \) -print0 |
  xargs -0 -n 1 "${CC:-cc}" -fpreprocessed -dD -E -P -w >"$work/sources"
grep -v '^#include' "$work/sources" | grep -oE '"([^"\\]|\\.)*"' | sed -E 's/^"(.*)"$/\1/' >"$work/names"
sed 's/#.*//' "$source_dir"/deploy/* | grep -oE '^[[:space:]]*[a-z_]+|--[a-z][a-z-]+' |
  tr -d '[:blank:]' >>"$work/names"
sort -u "$work/names" >"$work/found"

missing=$(LC_ALL=C sort -u "$list" | grep -v '^$' | grep -Fvx -f "$work/found" || true)
if [ -n "$missing" ]; then
  echo "names of tests/fixtures/outer_names.txt that no longer stand in src/ or deploy/:"
  echo "$missing"
  exit 1
fi
echo "outer names: $(wc -l <"$list") found"
