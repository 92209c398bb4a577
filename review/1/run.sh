#!/bin/sh
# A server fails bookings that it ran with status 503 and without X-Not-Executed; TROUBLE=0: no server fails.
exec "$(dirname "$0")/../run_case" "$(dirname "$0")" failed_with_503
