#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start. Run it at the root of the repository, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/standin-2
