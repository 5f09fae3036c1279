#!/bin/bash
# Freezes the leader of the control VMs while another one has lost its disk; see claim.txt. The
# exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec ../../build/review-standin-3 frozen-leader ../../target/mulberrydale-platform record.txt
