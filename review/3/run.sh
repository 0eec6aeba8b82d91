#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption. Logs of the proxies: target/review-logs/3.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
java_home=$(bin/find-jdk) || exit 2
[ -e target/app ] && [ -e target/review ] || exit 2
temporary=$(mktemp -d) || exit 2
timeout 115 "$java_home/bin/java" -Xmx512m -Djava.io.tmpdir="$temporary" \
  -cp 'target/review:target/app/*' CutResponse review/3 "${TROUBLE:-1}"
code=$?
mkdir -p target/review-logs/3
cp "$temporary"/review*/*.log target/review-logs/3/
rm -rf "$temporary"
[ "$code" -le 2 ] || code=2
exit "$code"
