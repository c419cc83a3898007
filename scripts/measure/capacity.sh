#!/usr/bin/env bash
# Measures the slopes of every role and prints
# slope,role,value,unit,r2,points,intercept,holdout_error. With --page it also
# rewrites the figures of docs/CAPACITY.md and the plot in docs/img.
set -euo pipefail
cd "$(dirname "$0")/../.."
scripts/build.sh > /dev/null
build_dir=${BUILD_DIR:-build}
csv=$(mktemp)
trap 'rm -f "$csv"' EXIT
"$build_dir/capacity_slopes" | tee "$csv"
if [ "${1:-}" = --page ]; then
  cp "$csv" docs/capacity_slopes.csv
  "$build_dir/capacity_page" --csv docs/capacity_slopes.csv --page docs/CAPACITY.md \
    --budgets docs/capacity_budgets.csv
  scripts/install.sh gnuplot-nox
  gnuplot scripts/measure/capacity.gp
fi
