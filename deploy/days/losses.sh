#!/usr/bin/env bash
# Plays one day with the logs of all entry processes, says why requests were not served well, and prints
# the bench's own count of how tries ended beside it.
# Usage: WHY="..." deploy/days/losses.sh BENCH SITE DAY [SEED]
set -u
[ $# -ge 3 ] || { echo "usage: WHY=... $0 BENCH SITE DAY [SEED]" >&2; exit 2; }
bench=$1 site=$2 day=$3 seed=${4:-1}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$bench" run "$site" "$day" --seed "$seed" --no-cpu --jobs 1 --log edge --why "${WHY:-losses} ($day, seed $seed)" >"$folder/out" 2>&1
# A line of the bench's output is the time, the name of the VM and what its process wrote.
awk -v folder="$folder" 'match($0, /^ *-?[0-9.]+ edge-[^ ]+ \{/) { name = $2; sub(/^ *[^ ]+ [^ ]+ /, ""); print > (folder "/" name ".log") }' "$folder/out"
target/release/sageshed logs losses "$folder"/edge-*.log ${SVG:+--svg "$SVG"}
grep -E "^how tries ended|^requests that only test|^$day " "$folder/out" | cut -c1-200
