#!/bin/bash
# Builds the stand-in that the scripts of the cases start. It needs no network.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-standin .
