#!/usr/bin/env bash
# Puts the libraries and packages of a deployed node into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.lock ]; then
    rm -rf "$deps"
    python3 -m pip install -q --require-hashes --target "$deps" -r deploy/requirements.lock
    touch "$deps/.libraries"
fi
rm -rf "$deps"/ragwort_*
for package in common flow mesh model protocol transport; do
    cp -r "packages/$package/src/ragwort_$package" "$deps/"
done
cp -r platform/src/ragwort_platform "$deps/"
python3 -m compileall -q "$deps"/ragwort_*
