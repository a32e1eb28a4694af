#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start beside those of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/ ./review/6 ./review/7
