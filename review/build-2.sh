#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into review/build-2/.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
java_home=$(../bin/java-home)
rm -rf build-2
mkdir build-2
echo '*' >build-2/.gitignore
"$java_home/bin/javac" -d build-2 stand-ins-2/*.java
