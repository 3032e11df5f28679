#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# TROUBLE=0 plays it without the cuts.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-stand-2 ] || [ ! -x target/gooseberrymastd ]; then
  echo "build with the build line of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
fi
exec target/review-stand-2 two-cuts review/9/record.txt
