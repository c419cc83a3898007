#!/usr/bin/env bash
# Installs the Debian packages that the build needs, if any is missing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < scripts/packages.txt
packages+=("$@")
if ! dpkg -s "${packages[@]}" > /dev/null 2>&1; then
  sudo=""
  [ "$(id -u)" = 0 ] || sudo=sudo
  $sudo apt-get update -q
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -q -y "${packages[@]}"
fi
