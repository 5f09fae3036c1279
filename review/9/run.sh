#!/bin/bash
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.."
exec ./build/review-standin-2 unreadable-entry review/9/record.txt
