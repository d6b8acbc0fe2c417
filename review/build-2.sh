#!/usr/bin/env bash
# The stand-ins of review/lib-2 need no build; checks that each loads on this machine, and that the program is there.
set -euo pipefail
cd "$(dirname "$0")/.."
node --input-type=module -e "await import('./review/lib-2/deployment.mjs');"
test -s target/chicorybendd.mjs
