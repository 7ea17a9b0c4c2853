#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15; the programs under test come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin3 -B target/review3 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review3 --target review3 -j8
