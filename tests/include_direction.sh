#!/usr/bin/env bash
# Checks that folders of src/ depend on each other in one direction only: a file includes headers of
# its own folder and of folders in lower layers (docs/architecture.md shows the layers).
# Usage: include_direction.sh PROJECT_ROOT
set -euo pipefail
cd "$1/src"

# Lowest layer first. Folders of one layer do not include each other.
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
declare -A layer_of
for i in "${!layers[@]}"; do
  for folder in ${layers[$i]}; do layer_of[$folder]=$i; done
done

failed=0
checked=0
while IFS=: read -r file header; do
  file="${file#./}"
  from="$(dirname "$file")"
  to="$(dirname "$header")"
  checked=$((checked + 1))
  if [[ -z "${layer_of[$from]:-}" || -z "${layer_of[$to]:-}" ]]; then
    echo "$file includes $header: no layer is listed for one of their folders"
    failed=1
  elif [[ "$from" == core/* && "$to" == core ]]; then
    continue # an interface that the folder implements, or the struct with a part for each folder
  elif [[ "$from" != "$to" && "${layer_of[$to]}" -ge "${layer_of[$from]}" ]]; then
    echo "$file includes $header: the header's folder is not in a lower layer"
    failed=1
  fi
done < <(grep -roE '#include "[^"]+"' --include='*.c' --include='*.h' --include='*.cpp' . | sed -E 's/#include "(.*)"/\1/')
[ "$checked" -gt 0 ] || { echo "no includes found below $PWD"; exit 1; }
exit "$failed"
