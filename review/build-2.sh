#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, after the build of the deploy file.
# Needs no network: it compiles against the libraries in target/app only.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
JAVA_HOME=$(bin/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -cp "target/app/*" -d target/review-2 review/standins-2/*.java
