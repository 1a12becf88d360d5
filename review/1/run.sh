#!/bin/sh
# TROUBLE=0 plays the same without the disruption.
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/play.py"
