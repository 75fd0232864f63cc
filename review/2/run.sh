#!/bin/sh
# Answers without a length that are reset midway: rule MIXED. TROUBLE=0 leaves the resets out. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
JAVA_HOME=$(bin/java-home) || exit 2
[ -x target/node/berylwick-node ] && [ -f review/out/Truncated.class ] || { echo "run deploy/build and review/build.sh first"; exit 2; }
exec timeout -k 5 118 "$JAVA_HOME/bin/java" -Xmx512m -cp review/out Truncated review/2/record.txt
