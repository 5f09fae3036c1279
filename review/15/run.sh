#!/bin/bash
# Lists entries of another writer beside the leafs of a service; see claim.txt. The exit
# status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec ../../build/review-standin-3 other-writer ../../target/mulberrydale-platform record.txt
