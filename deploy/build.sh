#!/bin/sh
# Installs the pinned runtime libraries and the package into target/deps.
set -eu
# The libraries hold compiled code, so a folder from another kind of machine or another
# Python is installed anew.
python=$(python3 -c 'import sys; print(sys.implementation.cache_tag)')
stamp="target/deps/.$(sha256sum deploy/runtime.lock | cut -c1-16)-$(uname -m)-$python"
if [ ! -f "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --require-hashes --target target/deps \
        --requirement deploy/runtime.lock
    touch "$stamp"
fi
rm -rf target/deps/pimentolatch
cp -r src/pimentolatch target/deps/pimentolatch
