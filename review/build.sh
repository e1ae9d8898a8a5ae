#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOWORK=off go test -c -o ../../target/review-standin .
