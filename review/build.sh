#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review; run after the build of the deploy file.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
java_home=$(bin/find-jdk)
rm -rf target/review
mkdir -p target/review
"$java_home/bin/javac" -proc:none -nowarn -cp 'target/app/*' -d target/review review/standins/*.java
