#!/usr/bin/env bash
# The stand-ins are Python of the standard library; this checks that they
# compile. The program itself is built by deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review
