#!/bin/sh
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
CASE=stuck-upload RECORD="$folder/record.txt" exec bin/review-standin
