#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review/. Needs the packages of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -Wall -Wextra -pthread"
g++ $flags -c review/standin/standin.cpp -o target/review/standin.o
for folder in review/[1-5]; do
    if [ -f "$folder/case.cpp" ]; then
        number=$(basename "$folder")
        g++ $flags "$folder/case.cpp" target/review/standin.o -o "target/review/case$number" \
            -lPocoNet -lPocoJSON -lPocoFoundation &
    fi
done
wait
