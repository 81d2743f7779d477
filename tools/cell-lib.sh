# Shared by the demo and the process tests: a cell of daemons and stand-ins on free loopback
# ports.  To be sourced with B (build folder) and OUT set.
source tools/ports.sh
PIDS=()
declare -A DAEMON

cleanup() { kill "${PIDS[@]}" 2> /dev/null || true; wait 2> /dev/null || true; }
trap cleanup EXIT

# Sleeps SECONDS: a read with a timeout from a pipe that never has data.
pause() { read -rt "$1" <> <(:) || true; }

# Runs COMMAND up to 300 times at intervals of 0.1 s until it succeeds; fails when it does not.
until_true() { for _ in $(seq 300); do "$@" && return 0; pause 0.1; done; return 1; }

fetch() { curl -sf --max-time 5 "$@"; }

# Creates keys and settings and starts the stand-ins on a block of free ports.  Sets base (first
# port), sofia and lima (HTTP addresses of one daemon of each partner).
start_platform() {
  rm -rf "$OUT"; mkdir -p "$OUT"
  "$B/flamingobarrow" keygen "$OUT/zavisimost.key" > "$OUT/zavisimost.pub"
  "$B/flamingobarrow" keygen "$OUT/cobranzas.key" > "$OUT/cobranzas.pub"
  local key1 key2 workers found=
  key1=$(cut -d= -f2 "$OUT/zavisimost.pub") key2=$(cut -d= -f2 "$OUT/cobranzas.pub")
  for _ in $(seq 5); do # retries when another process takes a port after the check
    base=$(free_block 30000 150 18 $(seq 0 142)) || break
    tools/make-cell.sh "$OUT" $base "$key1" "$key2"
    "$B/standins/standin-workers" --cell "$OUT/cell.ini" --record-port $((base + 142)) 2> "$OUT/workers.log" &
    workers=$!
    for _ in $(seq 100); do
      fetch "http://127.0.0.1:$((base + 142))/record" > /dev/null && found=1 && break
      kill -0 $workers 2> /dev/null || break
      pause 0.05
    done
    [ -n "$found" ] && break
  done
  [ -n "$found" ] || { echo "no free ports found"; exit 1; }
  PIDS+=("$workers")
  "$B/standins/standin-log" --port $((base + 140)) --retention 600 2> "$OUT/log.log" & PIDS+=($!)
  "$B/standins/standin-hosts" --port $((base + 141)) 2> "$OUT/hosts.log" & PIDS+=($!)
  sofia=127.0.0.1:$((base + 20)) lima=127.0.0.1:$((base + 27))
}

start_daemon() { # NAME
  "$B/flamingobarrowd" --settings "$OUT/$1.ini" 2>> "$OUT/$1.log" &
  DAEMON[$1]=$!
  PIDS+=($!)
}

control() { fetch -d "$2" "http://127.0.0.1:$1/control" > /dev/null || true; }

all_owned() { [ "$("$B/flamingobarrow" -d "$sofia" status 2> /dev/null | grep -cE '^[0-9]+ .* (sofia|lima)-entry')" = 52 ]; }
