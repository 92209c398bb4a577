#!/usr/bin/env bash
# play-2.sh CASE FOLDER: plays a case of the second review in the repository's root and ends all that it started.
set -m
here=$(cd "$(dirname "$0")" && pwd) || exit 2
folder=$(cd "$2" && pwd) || exit 2
cd "$here/.." || exit 2
for program in target/probes/release/probes target/release/eelgrasswelld; do
  [ -x "$program" ] || { echo "missing: $program" >&2; exit 2; }
done
timeout -k 2 117 target/probes/release/probes "$1" "$folder" &
pid=$!
# The processes that it starts are in its group.
trap 'kill -KILL -- "-$pid" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$pid"
code=$?
case "$code" in 0 | 1 | 2) exit "$code" ;; *) exit 2 ;; esac
