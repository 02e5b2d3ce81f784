#!/usr/bin/env bash
# Three daemons and four small targets on loopback; prints what callers get.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
run=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$run"
}
trap finish EXIT

base=${PORT:-17000}
controls=""
for i in 1 2 3; do controls+="${controls:+, }\"h$i\": \"127.0.0.1:$((base + 10 * i + 3))\""; done
for i in 1 2 3; do
    p=$((base + 10 * i))
    cat > "$run/h$i.json" <<JSON
{"host": "h$i", "zone": "z$i", "control": true, "dataFolder": "$run/h$i",
 "callers": "127.0.0.1:$p", "operators": "127.0.0.1:$((p + 1))",
 "targets": "127.0.0.1:$((p + 2))", "peers": "127.0.0.1:$((p + 3))",
 "drainMs": 500, "controlHosts": {$controls}}
JSON
    "$build/bilberrybendd" --settings "$run/h$i.json" --found 2> "$run/h$i.log" & pids+=($!)
done
announce=()
for i in 1 2 3; do announce+=("127.0.0.1:$((base + 10 * i + 2))"); done
"$build/fake_target" --id e1 --zone z1 --announce-to "${announce[@]}" --cached draft > /dev/null & pids+=($!)
"$build/fake_target" --id e2 --zone z2 --announce-to "${announce[@]}" > /dev/null & pids+=($!)
"$build/fake_target" --id c1 --kind service --service calendar --zone z1 --announce-to "${announce[@]}" > /dev/null & pids+=($!)
"$build/fake_target" --id l1 --kind service --service holds --zone z2 --announce-to "${announce[@]}" > /dev/null & pids+=($!)

ctl=("$build/bilberryctl" --daemon "127.0.0.1:$((base + 11)),127.0.0.1:$((base + 21)),127.0.0.1:$((base + 31))")
echo "== apply"; "${ctl[@]}" --wait apply examples/folder
key=$("${ctl[@]}" --json --wait key grant desk | sed 's/.*"key":"\([^"]*\)".*/\1/')
call() { curl -sS -m 10 "$@"; echo; }
at() { echo "http://127.0.0.1:$((base + 10 * $1))$2"; }
sleep 1
echo "== plain"; call "$(at 1 /v1/completions)" -H "Authorization: Bearer $key" -d '{"model":"draft","prompt":"A quote for Naadam","max_tokens":4}'
echo "== streamed, with an adapter"; call "$(at 2 /v1/completions)" -H "Authorization: Bearer $key" -d '{"model":"draft:weddings","prompt":"A wedding","max_tokens":3,"stream":true}'
echo "== plain service, open"; call "$(at 3 /calendar/2026-12-04)"
echo "== unrepeatable call, sent twice"
for i in 1 2; do call "$(at "$i" /holds)" -H "Authorization: Bearer $key" -H 'Idempotency-Key: hold-1' -d '{"magician":"Bat"}'; done
echo "== bad key"; call -i "$(at 1 /v1/completions)" -H "Authorization: Bearer nobody.wrong" -d '{"model":"draft","prompt":"x"}'
