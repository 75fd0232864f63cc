#!/bin/sh
# An acknowledged leave that is forgotten: rule DRAIN. TROUBLE=0 leaves out the kill and the refusing store. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
JAVA_HOME=$(bin/java-home) || exit 2
[ -x target/node/berylwick-node ] && [ -f review/out/Leave.class ] || { echo "run deploy/build and review/build.sh first"; exit 2; }
exec timeout -k 5 118 "$JAVA_HOME/bin/java" -Xmx512m -cp review/out Leave review/3/record.txt
