#!/usr/bin/env bash
# Plays the set by which a change of policy is judged: the same days and seeds, before and after, without
# processor time. Prints a line for each day, with how its tries ended.
#   decides   scale-1 and trouble-2 of the large deployment            two minutes on eight cores
#   grown     scale-1 and trouble-2 of each grown deployment           three minutes
#   holds     six days of each small deployment on two seeds           three minutes
# Usage: WHY="..." deploy/days/rounds.sh BENCH KIT [decides|grown|holds...]; KIT holds the folders of site files.
# JOBS (default 4) plays at once; of the large deployment no more than three fit the threads of one machine.
set -u
[ $# -ge 2 ] || { echo "usage: WHY=... $0 BENCH KIT [decides|grown|holds...]" >&2; exit 2; }
bench=$1 kit=$2
shift 2
[ $# -gt 0 ] || set -- decides
play() {
    out=$("$1" run "$2" "$3" ${4:+--seed "$4"} --no-cpu --jobs 1 --why "${WHY:-round} ($3${4:+, seed $4})" 2>&1)
    name=$(basename "$2" .toml)
    grep -E "^$3 +[0-9]+/[0-9]+ " <<<"$out" | head -n 1 | cut -c1-110 | sed "s/^/$name /"
    grep -E 'BROKEN|^short of the gate|refuses' <<<"$out" | head -n 1 | cut -c1-160 | sed "s/^/  ! /"
    grep -E '^how tries ended' <<<"$out" | cut -c1-180 | sed 's/^/  /'
}
export -f play
"$bench" build >/dev/null || exit 1
for set in "$@"; do
    case $set in
        decides) for day in scale-1 trouble-2; do printf '%s\0' "$kit/large/clearflow-callouts-large.toml" "$day" ''; done ;;
        grown)
            for site in further-grown/cars-piarco-grown grown/clearflow-callouts-grown grown/kcbc-route-grown; do
                for day in scale-1 trouble-2; do printf '%s\0' "$kit/$site.toml" "$day" ''; done
            done ;;
        holds)
            for site in further/cars-piarco sites/clearflow-callouts sites/kcbc-route; do
                for day in quiet-1 trouble-1 scale-1 trouble-2 scale-2 trouble-3; do
                    for seed in 1 2; do printf '%s\0' "$kit/$site.toml" "$day" "$seed"; done
                done
            done ;;
        *) echo "unknown set $set" >&2; exit 2 ;;
    esac
done | xargs -0 -n 3 -P "${JOBS:-4}" bash -c 'play "$@"' _ "$bench" | grep -v '^$'
