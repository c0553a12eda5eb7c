#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15, the project's
# own included, after the build of the deploy file. It needs no network.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3
PYTHONPATH=target/deps python3 -c 'import lentilgauge.standins.gateway_store'
