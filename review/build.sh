#!/bin/sh
# Builds the stand-ins of the scripts.
set -eu
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -o target/ ./review/runcase
