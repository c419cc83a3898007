#!/usr/bin/env bash
# Usage: scripts/measure.sh NAME [ARGUMENTS]
# Runs scripts/measure/NAME.sh, which prints figure,value,unit lines.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
if [ -z "$name" ] || [ ! -f "scripts/measure/$name.sh" ]; then
  echo "Usage: scripts/measure.sh NAME; names:" >&2
  for script in scripts/measure/*.sh; do basename "$script" .sh >&2; done
  exit 2
fi
shift
exec "scripts/measure/$name.sh" "$@"
