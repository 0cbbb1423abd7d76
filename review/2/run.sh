#!/usr/bin/env bash
# BUDGET: requests with a prompt part that crashes engines go on reaching engines. TROUBLE=0: the part is harmless.
# DEATH=no-bytes, first-event or after-head moves the crash within the answer.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -e target/pomeloladder-gateway.jar ] && [ -e target/review/DeadlyPart.class ] || exit 2
exec java -Xmx256m -cp target/review DeadlyPart review/2
