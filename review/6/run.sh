#!/usr/bin/env bash
# Case 6: one liveness report of another writer, in which fields are missing.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../case-2.sh" 6 odd-report "${TROUBLE:-1}"
