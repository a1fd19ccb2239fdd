#!/bin/sh
# Compile the stand-ins that the scripts start; they need no more than the
# packages that the build line of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:tests:review PYTHONDONTWRITEBYTECODE=1 \
  python3 -c 'import metadata_store, platform_target; from trial2 import client, entry_vm, fleet, platform, ports, record, restored, target, target_process'
