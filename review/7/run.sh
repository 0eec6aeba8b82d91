#!/usr/bin/env bash
# Runs the case; see claim.txt. Exit status: 1 broken, 0 held, 2 not run. TROUBLE=0: no disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
JAVA_HOME=$(bin/find-jdk) || exit 2
[ -e target/review-2/PromotionBehindCut.class ] && [ -e target/runtime/bin/java ] || exit 2
exec "$JAVA_HOME/bin/java" -cp "target/review-2:target/app/*" PromotionBehindCut review/7/record.txt
