#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")"
go -C standin build -o ../bin/standin .
