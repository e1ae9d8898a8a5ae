#!/usr/bin/env bash
# Plays the case. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 it plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/goldcrest-node ] || [ ! -x target/review-standin ]; then
  echo "build with the line of deploy/system.toml and review/build.sh first"
  exit 2
fi
exec target/review-standin split review/3
