#!/bin/sh
# The store gives no answers for up to 4.5 s; later a server that never reports draining is removed from it. TROUBLE=0:
# the store answers all the time.
exec "$(dirname "$0")/../run_case" "$(dirname "$0")" removed_after_outage
