#!/bin/sh
# Compile the stand-ins that the scripts start; they need no more than the
# packages that the build line of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:tests:review PYTHONDONTWRITEBYTECODE=1 \
  python3 -c 'import harness.deployment'
