#!/usr/bin/env bash
# Case 6: one liveness report of another writer, in which fields are missing.
exec "$(dirname "$0")/../case-2.sh" 6 odd-report
