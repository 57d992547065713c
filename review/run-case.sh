#!/usr/bin/env bash
# Runs case $1: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
program="target/review/case$1"
if [ ! -x "$program" ] || [ ! -x target/bin/instanced ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh"
    exit 2
fi
"$program" "review/$1/record.txt" &
pid=$!
( sleep 115; kill -KILL -- "-$pid" ) >/dev/null 2>&1 &
watchdog=$!
wait "$pid"
code=$?
pkill -P "$watchdog" 2>/dev/null
kill "$watchdog" 2>/dev/null
# The case is the leader of the process group in which it started its processes.
kill -KILL -- "-$pid" 2>/dev/null
if [ "$code" -gt 2 ]; then
    code=2
fi
exit "$code"
