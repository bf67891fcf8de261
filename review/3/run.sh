#!/bin/sh
# Plays case 3; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/runcase 3 review/3
