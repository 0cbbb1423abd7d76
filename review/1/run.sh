#!/usr/bin/env bash
# MIXED: part of an engine's answer is delivered as the whole answer. TROUBLE=0 leaves out the crash.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/pomeloladder-gateway.jar ] && [ -e target/review/Truncated.class ] || exit 2
exec java -Xmx256m -cp target/review Truncated review/1
