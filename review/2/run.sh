#!/bin/sh
# Plays case 2; TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/runcase 2 review/2
