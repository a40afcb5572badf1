#!/usr/bin/env bash
# Case 8: a leaving is forgotten at a planned restart, since the machines that are asked for it are gone.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../case-2.sh" 8 replaced "${TROUBLE:-1}"
