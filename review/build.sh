#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Needs the JDK only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
javac -d target/review review/standins/*.java
