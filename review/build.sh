#!/bin/sh
# The stand-ins are Python files that need the standard library only, so
# there is nothing to build; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q .
