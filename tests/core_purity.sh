#!/usr/bin/env bash
# The core does no I/O, reads no clock, starts no thread and takes no lock: it includes only its own
# headers, the codec's and those of the C library and GLib that are named here, and its objects refer to
# nothing else. Arguments: the source folder, the library with all objects.
set -euo pipefail
source_dir="$1"
library="$2"
failed=0

allowed_headers='core/([a-z_]+/)?[a-z_]+\.h|conf/config\.h|wire/[a-z_]+\.h|(errno|math|stdarg|stdbool|stddef|stdint|stdio|stdlib|string|glib)\.h'
while IFS= read -r line; do
  header="$(sed -E 's/.*#include [<"]([^">]+)[">].*/\1/' <<<"$line")"
  if ! grep -Eqx "$allowed_headers" <<<"$header"; then
    echo "forbidden include: $line"
    failed=1
  fi
done < <(grep -rn '^#include' "$source_dir/src/core")

work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
members() { # object names of a source folder, as a pattern
  (cd "$source_dir/src/$1" && find . -name '*.c' -printf '%f.o\n') | paste -sd'|' | sed 's/\./\\./g'
}
nm -A "$library" 2>/dev/null >"$work/symbols"
own="$(members core)|$(members wire)"
grep -E ":($own):.* [TDBRVWi] " "$work/symbols" | awk '{print $NF}' | sort -u >"$work/defined"
grep -E ":($(members core)):.* U " "$work/symbols" | awk '{print $NF}' | sort -u >"$work/needed"
if [ ! -s "$work/needed" ]; then
  echo "no objects of the core in $library"
  exit 1
fi

# Memory, text and numbers; GLib's containers, but not its threads, files and clocks. (The codec library's
# inline functions assert in a debug build.)
allowed='(mem|str)[a-z]+|snprintf|vsnprintf|__v?snprintf_chk|__[a-z]+_chk|__stack_chk_fail|__assert_fail|abs|floor|ceil|fmod|sqrt|log|exp|pow|fmin|fmax|round|lround|free|malloc|calloc|realloc|qsort|_GLOBAL_OFFSET_TABLE_'
allowed+='|g_(array|byte_array|hash_table|ptr_array|queue|list|slist|string|str|ascii|int64|int|direct|double)_[a-z0-9_]+'
allowed+='|g_(malloc|malloc0|malloc_n|malloc0_n|realloc|free|strdup|strndup|strlcpy|strlcat|snprintf|strdup_printf|memdup2|str_hash|str_equal|int64_hash|int64_equal|strsplit|strfreev)'
allowed+='|__(asan|ubsan|tsan|sanitizer|gcov)_.*|__tls_get_addr'
while IFS= read -r symbol; do
  if ! grep -Eqx "$allowed" <<<"$symbol"; then
    echo "the core refers to $symbol"
    failed=1
  fi
done < <(comm -13 "$work/defined" "$work/needed")
exit "$failed"
