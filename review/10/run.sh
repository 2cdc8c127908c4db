#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
exec timeout --signal=TERM 118 java -Xmx512m -cp review/target/stand GangFailures review/10/record.txt
