#!/usr/bin/env bash
# Folders of src/ depend on each other in one direction: a file includes headers of its own folder and of
# folders further down (docs/architecture.md has the picture). Argument: the project's root.
set -euo pipefail
cd "$1/src"

# Lowest first. Folders on one line don't include each other.
layers=(
  "common wire conf"
  "core/state"
  "core/membership"
  "core/health"
  "core/scheduling"
  "core/autoscaling"
  "core/views"
  "core"
  "net"
  "store cloud worker http"
  "peer"
  "admission"
  "cells"
  "app"
)
declare -A rank
for i in "${!layers[@]}"; do
  for folder in ${layers[$i]}; do rank[$folder]=$i; done
done

failed=0
checked=0
while IFS=: read -r file header; do
  file="${file#./}"
  from="$(dirname "$file")"
  to="$(dirname "$header")"
  checked=$((checked + 1))
  if [[ -z "${rank[$from]:-}" || -z "${rank[$to]:-}" ]]; then
    echo "$file includes $header: a folder without a layer"
    failed=1
  elif [[ "$from" == core/* && "$to" == core ]]; then
    continue # the interface that the folder implements, or the struct with a part for each folder
  elif [[ "$from" != "$to" && "${rank[$to]}" -ge "${rank[$from]}" ]]; then
    echo "$file includes $header: against the direction"
    failed=1
  fi
done < <(grep -roE '#include "[^"]+"' --include='*.c' --include='*.h' --include='*.cpp' . | sed -E 's/#include "(.*)"/\1/')
[ "$checked" -gt 0 ] || { echo "no includes found"; exit 1; }
exit "$failed"
