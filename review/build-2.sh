#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. They are Python: the project's own
# are part of the deploy file's build, and these are compiled as a check.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/lentilgauge/standins
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q review/standins-2
