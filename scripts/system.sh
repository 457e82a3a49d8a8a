# Starting and stopping a whole system of real programs; sourced by the demo and the end-to-end tests.
# Uses: example, preset, and net, the second number of the loopback addresses.

declare -A pids
work=""

# prepare_system: a working copy of the example with fresh operators' keys, on 127.$net.*.
prepare_system() {
  bin=$PWD/$(preset_folder "$preset")/bin
  work=$(mktemp -d)
  mkdir "$work/data" "$work/log" "$work/keys"
  cp "examples/$example/"*.json "$work/"
  local published fresh who callers
  local old_net
  old_net=$(sed -n 's/.*"http": "127\.\([0-9]*\)\..*/\1/p' "$work/bundle.json" | head -1)
  callers=$((net + 100))
  sed -i "s/127\.$((old_net + 100))\./127.$callers./g; s/127\.$old_net\./127.$net./g" "$work"/*.json
  for who in "$author" "$signer"; do
    fresh=$("$bin/pepperlug" keygen "$work/keys/$who.json")
    published=$(sed -n "s/.*\"name\": \"$who\", \"public_key\": \"\([0-9a-f]*\)\".*/\1/p" "$work/bundle.json")
    sed -i "s/$published/$fresh/" "$work"/*.json
  done
}

set_example() {
  case "$1" in
    liftcoop) example=liftcoop default_net=20 service=dispatch read=/cars/ once=/callouts/ rate=120 author=an signer=bert ;;
    kemal) example=kemal default_net=30 service=catalogue read=/books/ once=/holds/ rate=60 author=kemal signer=leyla ;;
    *) return 1 ;;
  esac
  net=$default_net
}

start() { # start NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  (cd "$work" && exec "$@" 2>>"log/$name.err") &
  pids[$name]=$!
}

start_targets() { start targets "$bin/fake-targets" --bundle bundle.json --service-ms "${service_ms:-20}" --stats "127.$net.250.1:9000"; }
start_control() { start "control-$1" "$bin/pepperlug-control" --config "control-$1.json" "${@:2}"; }
start_entry() { # start_entry NAME
  local record=()
  [ -n "${PEPPERLUG_RECORD:-}" ] && record=(--record "$work/$1.trace")
  start "entry-$1" "$bin/pepperlug-entry" --config "entry-$1.json" "${record[@]}"
}
start_all() {
  local n file name
  start_targets
  for n in 1 2 3; do start_control "$n" --init; done
  for file in "$work"/entry-*.json; do
    name=$(basename "$file" .json)
    start_entry "${name#entry-}"
  done
}

# end_process NAME SIGNAL: ends a process that was started here and waits for it.
end_process() {
  local code=0
  kill "-$2" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || code=$?
  unset "pids[$1]"
  return "$code"
}

# stop_all: ends all that still runs; fails if one did not end well.
stop_all() {
  local name code=0
  for name in "${!pids[@]}"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
  for name in "${!pids[@]}"; do
    if ! wait "${pids[$name]}"; then
      echo "$name did not end well: $(cat "$work/log/$name.err" 2>/dev/null)" >&2
      code=1
    fi
  done
  return "$code"
}

command_line() { (cd "$work" && "$bin/pepperlug" --config command.json "$@"); }
as_author() { command_line "$@" --operator "$author" --key "keys/$author.json"; }
as_signer() { command_line "$@" --operator "$signer" --key "keys/$signer.json"; }

# put_in_force FILE: takes a bundle through propose, sign and rollout, and waits until it is in force everywhere.
put_in_force() {
  as_author propose "$1" && as_signer sign "$1" && as_author rollout "$1" --wait
}

# start_load SECONDS: callers in every zone, in the background; wait_load waits for them.
start_load() {
  (cd "$work" && exec "$bin/pepperlug-load" --bundle bundle.json --service "$service" --rate "$rate" --seconds "$1" \
    --read-path "$read" --once-path "$once" --stats "127.$net.250.1:9000" --report report.json >load.out 2>load.err) &
  load=$!
}
wait_load() { wait "$load"; }
# total KEY: a figure of the whole load, from its report.
total() { sed -n "s/.*\"$1\": \([0-9]*\).*/\1/p" "$work/report.json" | tail -1; }
