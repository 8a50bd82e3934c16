#!/usr/bin/env bash
# Checks that the core does no I/O, reads no clock, starts no thread and takes no lock. The core may
# include only its own headers, those of the configuration and of the codec, and the C library and
# GLib headers listed here; its objects may use only symbols of the core, of the codec and those
# listed here.
# Usage: core_purity.sh SOURCE_DIR LIBRARY, where LIBRARY contains the objects of the core and the
# codec.
set -euo pipefail
source_dir="$1"
library="$2"
failed=0

allowed_headers='core/([a-z_]+/)?[a-z_]+\.h|conf/config\.h|wire/[a-z_]+\.h|(errno|math|stdarg|stdbool|stddef|stdint|stdio|stdlib|string|glib)\.h'
while IFS= read -r line; do
  header="$(sed -E 's/.*#include [<"]([^">]+)[">].*/\1/' <<<"$line")"
  if ! grep -Eqx "$allowed_headers" <<<"$header"; then
    echo "the core must not include this header: $line"
    failed=1
  fi
done < <(grep -rn '^#include' "$source_dir/src/core")

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
# Prints a regular expression that matches the object names of a folder of src/.
object_pattern() {
  (cd "$source_dir/src/$1" && find . -name '*.c' -printf '%f.o\n') | paste -sd'|' | sed 's/\./\\./g'
}
nm -A "$library" 2>/dev/null >"$work/symbols"
core_and_codec="$(object_pattern core)|$(object_pattern wire)"
grep -E ":($core_and_codec):.* [TDBRVWi] " "$work/symbols" |
  awk '{print $NF}' | sort -u >"$work/defined"
grep -E ":($(object_pattern core)):.* U " "$work/symbols" |
  awk '{print $NF}' | sort -u >"$work/undefined"
if [ ! -s "$work/undefined" ]; then
  echo "the library contains no objects of the core: $library"
  exit 1
fi

# Functions for memory, text and numbers, and GLib's containers, but not its threads, files and
# clocks. __assert_fail comes from inline functions of the codec library in a debug build; the last
# line has symbols of sanitizers and coverage, and of thread-local storage.
allowed='(mem|str)[a-z]+|snprintf|vsnprintf|__v?snprintf_chk|__[a-z]+_chk|__stack_chk_fail|__assert_fail|abs|floor|ceil|fmod|sqrt|log|exp|pow|fmin|fmax|round|lround|free|malloc|calloc|realloc|qsort|_GLOBAL_OFFSET_TABLE_'
allowed+='|g_(array|byte_array|hash_table|ptr_array|queue|list|slist|string|str|ascii|int64|int|direct|double)_[a-z0-9_]+'
allowed+='|g_(malloc|malloc0|malloc_n|malloc0_n|realloc|free|strdup|strndup|strlcpy|strlcat|snprintf|strdup_printf|memdup2|str_hash|str_equal|int64_hash|int64_equal|strsplit|strfreev)'
allowed+='|__(asan|ubsan|tsan|sanitizer|gcov)_.*|__tls_get_addr'
while IFS= read -r symbol; do
  if ! grep -Eqx "$allowed" <<<"$symbol"; then
    echo "the core must not use this symbol: $symbol"
    failed=1
  fi
done < <(comm -13 "$work/defined" "$work/undefined")
exit "$failed"
