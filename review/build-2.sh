#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standins-2 ./review/standins-2
