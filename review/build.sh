#!/usr/bin/env bash
# Builds what the review's scripts start beside the gateway. The stand-ins are
# Python with its standard library only, so there is nothing to compile: this
# checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1
python3 - <<'EOF'
import ast
import glob

for path in sorted(glob.glob("lib/*.py") + glob.glob("[1-5]/*.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
from lib import fleet, http1, servers, store
EOF
[ -x ../target/yuccapick ] || echo "target/yuccapick is missing: build the deploy file first" >&2
