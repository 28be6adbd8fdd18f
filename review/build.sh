#!/bin/sh
# Builds the program of the review's cases, with discovery, upstreams and clients. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go test -c -tags review -o bin/review-standin ./review/standin
