#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the JDK alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
rm -rf target/stand
mkdir -p target/stand
javac -d target/stand stand/*.java
