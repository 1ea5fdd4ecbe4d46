#!/usr/bin/env bash
# Plays days of one trouble each, and prints a line for each: its name, worth, what was served, and what
# is broken. Usage: deploy/days/play.sh BENCH SITE [DAY.toml...]; without days all of this folder.
set -u
[ $# -ge 2 ] || { echo "usage: $0 BENCH SITE [DAY.toml...]" >&2; exit 2; }
bench=$1 site=$2
shift 2
[ $# -gt 0 ] || set -- "$(dirname "$0")"/*.toml
play() {
    out=$("$1" run "$2" "$3" --why "one trouble alone: $(basename "$3" .toml)" 2>&1)
    line=$(grep -E '^[a-z0-9-]+ +[0-9]+/[0-9]+ ' <<<"$out" | head -n 1 | cut -c1-150)
    worse=$(grep -E '^short of the gate|BROKEN|fault|exits of its own' <<<"$out" | grep -v ' 0.0 *exits' | head -n 3 | tr '\n' ' ' | cut -c1-300)
    echo "${line:-$(basename "$3" .toml): no result: $(tail -n 1 <<<"$out")} $worse"
}
export -f play
printf '%s\0' "$@" | xargs -0 -P "${JOBS:-4}" -I{} bash -c 'play "$@"' _ "$bench" "$site" {}
