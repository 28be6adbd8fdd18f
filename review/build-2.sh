#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. The balancer itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go test -c -tags review -o bin/review-stage ./review/stage
