#!/usr/bin/env bash
# Starts a small sageshed on this machine and shows one request of each kind.
#
#   examples/demo/run.sh          runs, prints, stops all that it started
#   examples/demo/run.sh --stay   stays up until interrupted
#
# Three control and three entry processes, and one process that stands in for four engines and a
# plain service. Callers are heard on 127.0.0.1:8801-8803 (tokens `clearflow` and `kootenay`),
# operators on 127.0.0.1:8811-8813 (token `demo-operator`).
set -euo pipefail
cd "$(dirname "$0")/../.."

stay=no
case "${1:-}" in
    "") ;;
    --stay) stay=yes ;;
    *) echo "usage: examples/demo/run.sh [--stay]" >&2; exit 2 ;;
esac

cargo build --release --locked --quiet --package sageshed --package sageshed-test-support
target=$(cargo metadata --format-version 1 --no-deps --locked | sed -n 's/.*"target_directory":"\([^"]*\)".*/\1/p')
bin="$target/release"

work=$(mktemp -d)
started=()
stop() {
    trap - EXIT INT TERM
    for ((i = ${#started[@]} - 1; i >= 0; i--)); do
        kill "${started[i]}" 2>/dev/null || true
    done
    wait "${started[@]}" 2>/dev/null || true
    rm -rf "$work"
}
trap stop EXIT
trap 'exit 130' INT TERM

cp examples/demo/*.toml "$work"
run() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    started+=($!)
}
fail() {
    echo "demo: $1" >&2
    tail -n 5 "$work"/*.log >&2
    exit 1
}

for n in 1 2 3; do
    run "control-$n" "$bin/sageshed" control --config "$work/control-$n.toml" --new-group
    run "entry-$n" "$bin/sageshed" entry --config "$work/entry-$n.toml"
done
run standins "$bin/sageshed-standin" --config "$work/standins.toml"

# Ready means: each entry process has confirmed its configuration, and an engine holds each model
# that is asked for below.
ask() { curl --silent --show-error --max-time 20 "$@"; }
ready() {
    local port
    for port in 8801 8802 8803; do
        [ "$(curl --silent --output /dev/null --max-time 2 --write-out '%{http_code}' "http://127.0.0.1:$port/readyz")" = 200 ] || return 1
    done
    ask --output /dev/null --fail -H 'Authorization: Bearer clearflow' -H 'Sageshed-Deadline-Ms: 2000' \
        --json '{"model":"triage","prompt":"ready?","max_tokens":1}' http://127.0.0.1:8802/v1/completions 2>/dev/null
}
for ((i = 0; ; i++)); do
    ready && break
    [ "$i" -lt 150 ] || fail "not ready after 30 s"
    sleep 0.2
done

export SAGESHED_CONTROL=http://127.0.0.1:8811,http://127.0.0.1:8812,http://127.0.0.1:8813
export SAGESHED_TOKEN=demo-operator

echo "== a plain answer"
ask --fail -H 'Authorization: Bearer clearflow' \
    --json '{"model":"triage","messages":[{"role":"user","content":"Cellar flooding at the Anchor"}],"max_tokens":12}' \
    http://127.0.0.1:8801/v1/chat/completions || fail "no plain answer"
echo
echo "== a streamed answer"
ask --fail --no-buffer -H 'Authorization: Bearer kootenay' \
    --json '{"model":"lodge-copy","messages":[{"role":"user","content":"Three lines on the lake"}],"max_tokens":6,"stream":true}' \
    http://127.0.0.1:8802/v1/chat/completions || fail "no streamed answer"
echo "== a service that may not be called twice, asked twice under one key"
for port in 8801 8803; do
    ask --fail -H 'Authorization: Bearer clearflow' -H 'Idempotency-Key: demo-job-1' \
        --json '{"job":"gully blocked, Bridge Street"}' "http://127.0.0.1:$port/services/crews/dispatch" ||
        fail "no answer of the service"
    echo
done
echo "== a refusal, by a rule, with its account"
"$bin/sageshed" rules add --wait --rule 'id = "no-drafts-tonight"
when = { caller = ["kootenay"], model = ["job-sheet"] }
do = { refuse = { reason = "job sheets are for callouts", retry_after_ms = 60000 } }' || fail "no rule added"
ask -H 'Authorization: Bearer kootenay' --json '{"model":"job-sheet","prompt":"a draft"}' \
    http://127.0.0.1:8803/v1/completions || fail "no refusal"
echo
echo "== sageshed status"
"$bin/sageshed" status || fail "no status"

if [ "$stay" = yes ]; then
    echo "stays up until interrupted; logs are in $work"
    wait
fi
