#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig3 ./review/rig3
