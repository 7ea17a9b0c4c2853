#!/usr/bin/env bash
# Builds the stand-ins and clients of review/6 to review/10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2 --target lost_majority abandoned_submission wide_graph long_orders \
    long_row -j8
