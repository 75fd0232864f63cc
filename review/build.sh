#!/bin/sh
# Builds the stand-ins of all scripts of this review; needs only the JDK that builds the project.
set -eu
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/java-home)
rm -rf review/out
mkdir -p review/out
"$JAVA_HOME/bin/javac" -d review/out review/src/*.java
