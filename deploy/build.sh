#!/bin/sh
# Installs the pinned runtime libraries and the package into target/deps.
set -eu
stamp="target/deps/.$(sha256sum deploy/runtime.lock | cut -c1-16)"
if [ ! -f "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps \
        --requirement deploy/runtime.lock
    touch "$stamp"
fi
rm -rf target/deps/pimentolatch
cp -r src/pimentolatch target/deps/pimentolatch
