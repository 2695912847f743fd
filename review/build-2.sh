#!/usr/bin/env bash
# Builds the stand-ins and scripts of the cases from review/6 on into target/review-2; needs only the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/stand-2/src/*.java
