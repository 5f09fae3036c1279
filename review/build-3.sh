#!/bin/bash
# Builds the stand-in that the scripts of the third review start.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../build
GOWORK=off go build -o ../../build/review-standin-3 .
