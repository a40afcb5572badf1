#!/usr/bin/env bash
# Case 8: a leaving is forgotten when the process beside the server is killed and a report from before arrives late.
exec "$(dirname "$0")/../case-2.sh" 8 late-report
