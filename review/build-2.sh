#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/standin .
