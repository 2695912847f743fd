#!/bin/bash
# Builds the stand-ins of the cases review/6 to review/10; needs only the JDK.
set -eu
cd "$(dirname "$0")/stand-2"
rm -rf target
mkdir -p target
javac -d target *.java
