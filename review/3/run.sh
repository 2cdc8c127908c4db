#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -f target/review/Case.class ] && ls target/lib/*.jar > /dev/null 2>&1 || { echo 'not built: run the build of the deploy file, then review/build.sh'; exit 2; }
exec java -Xmx256m -Dsun.net.httpserver.nodelay=true -cp 'target/review:target/lib/*' Case StaleLeave review/3
