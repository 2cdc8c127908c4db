#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/, after the build command of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review
javac -Xlint:all -d target/review -cp 'target/lib/*' review/harness/*.java review/[1-5]/*.java
