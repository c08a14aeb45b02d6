#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python modules that use
# the standard library only, so they are compiled to check them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/loopback
