#!/bin/sh
# Runs the case named $1 and writes record.txt into the folder $2. Exit codes: 1 if the rule was broken,
# 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
folder=$(cd "$2" && pwd)
cd "$folder/../.."
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
timeout --kill-after=3 115 java -Xmx1g -cp target/review-2 Case "$1" "$folder/record.txt" "$directory"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
