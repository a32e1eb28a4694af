#!/usr/bin/env bash
# Builds the stand-ins of the cases: the program review/stand, with the project's own stand-in of the store in it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
