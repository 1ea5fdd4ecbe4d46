#!/usr/bin/env bash
# Plays days with fixed seeds and prints the mean of score, worth and shares of each day and of all, so
# that two versions can be compared by the same luck. Processor time is not charged: one version then
# gives the same figures each time. Usage: WHY="..." deploy/days/compare.sh BENCH SITE [DAY...]
# SEEDS (default "1 2 3 4 5 6") and JOBS (default 6) are taken from the environment.
set -u
[ $# -ge 2 ] || { echo "usage: WHY=... $0 BENCH SITE [DAY...]" >&2; exit 2; }
bench=$1 site=$2
shift 2
[ $# -gt 0 ] || set -- trouble-1 scale-1 trouble-2 scale-2 trouble-3
play() {
    out=$("$1" run "$2" "$3" --seed "$4" --no-cpu --jobs 1 --why "${WHY:-compare} ($3, seed $4)" 2>&1)
    grep -E "^$3 +[0-9]+/[0-9]+ " <<<"$out" | head -n 1 | awk '{print $1, $3, $4, $5, $6, $7}'
    grep -E '^short of the gate|BROKEN' <<<"$out" | sed "s/^/!$3 seed $4: /"
}
export -f play
"$bench" build >/dev/null || exit 1
for day in "$@"; do
    for seed in ${SEEDS:-1 2 3 4 5 6}; do printf '%s\0%s\0' "$day" "$seed"; done
done | xargs -0 -n 2 -P "${JOBS:-6}" bash -c 'play "$@"' _ "$bench" "$site" | sort | awk '
    /^!/ { print substr($0, 2); next }
    { n[$1]++; for (i = 2; i <= 6; i++) { sum[$1, i] += $i; all[i] += $i }; total++ }
    END {
        printf "%-12s %5s %6s %6s %6s %7s %6s\n", "day", "plays", "score", "worth", "served", "refused", "failed"
        for (day in n) {
            printf "%-12s %5d", day, n[day]
            for (i = 2; i <= 6; i++) printf " %6.3f", sum[day, i] / n[day]
            print ""
        }
        printf "%-12s %5d", "all", total
        for (i = 2; i <= 6; i++) printf " %6.3f", all[i] / total
        print ""
    }'
