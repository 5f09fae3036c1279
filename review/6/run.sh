#!/bin/bash
# Runs the case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.."
exec ./build/review-standin-2 last-tenant review/6/record.txt
