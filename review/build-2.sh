#!/bin/sh
# Builds the stand-ins of the scripts under review/4 to review/8. They are plain
# Python without libraries, so that it only compiles them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/support-2 review/[4-8]
