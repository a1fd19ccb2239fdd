#!/bin/sh
# 1: CONFIG was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:tests:review PYTHONDONTWRITEBYTECODE=1 \
  exec python3 review/5/case.py "${TROUBLE:-1}"
