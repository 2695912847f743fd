#!/usr/bin/env bash
# Builds the stand-ins and the cases into target/review; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/stand/*.java review/*/*.java
