#!/usr/bin/env bash
# Builds the stand-ins of the third review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
go build -buildvcs=false -o ../../target/review-3/standin .
