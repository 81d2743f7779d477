# What the tests of daemon processes on the stand-in platform share; to be sourced.  They set B, OUT
# and base, the first port of the platform, and define port INDEX, the first of a daemon's four.
step() { echo "-- $1"; }
die() { echo "$1"; exit 1; }
expect_match() { grep -q -- "$2" <<< "$1" || die "$1 instead of $2: $3"; } # TEXT PATTERN WHEN
until_true() { local end=$((SECONDS + 45)); while [ $SECONDS -lt $end ]; do "$@" && return 0; sleep 0.01; done; return 1; }
# Prints the settings of a daemon.
settings() { # INDEX
  cat <<INI
[daemon]
name=d$1
domain=z$1
grace=6s
[listen]
callers=127.0.0.1:$(port "$1")
readiness=127.0.0.1:$(($(port "$1") + 1))
peers=127.0.0.1:$(($(port "$1") + 2))
metrics=127.0.0.1:$(($(port "$1") + 3))
[store]
address=127.0.0.1:$base
partitions=32
shortest-membership=1000ms
[workers]
longest-lease=6000ms
longest-stop=200ms
gang-patience=3000ms
INI
}
# Starts a daemon; its process id is $! then.
run_daemon() { # INDEX
  settings "$1" > "$OUT/d$1.ini"
  $B/flamingobarrowd --settings "$OUT/d$1.ini" >> "$OUT/d$1.log" 2>&1 &
}
# Prints a number as printf escapes of its four bytes.
octal() { local n=$1 out= i; for i in 1 2 3 4; do out="\\$(printf '%03o' $((n & 255)))$out"; n=$((n >> 8)); done; printf '%s' "$out"; }
job() { printf '%016x' "$1"; } # NUMBER
# Starts a daemon whose process id is kept in PID.
start_daemon() { run_daemon "$1"; PID[$1]=$!; } # INDEX
ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$(($(port "$1") + 1))/api/readyz")" = 200 ]; } # INDEX
# Sends a command to the stand-in platform.
control() { curl -s -o /dev/null -d "$1" "http://127.0.0.1:$base/control"; } # JSON
append_records() { # TOPIC FILE [PARTITION]
  [ "$(curl -s -o /dev/null -w '%{http_code}' --data-binary "@$2" "http://127.0.0.1:$base/api/log-append?topic=$1&part=${3:-0}")" = 200 ]
}
# Stores a record, as another program may do.
store_record() { # TOPIC KEY VALUE-FILE [PARTITION]
  local LC_ALL=C len; len=$(stat -c %s "$3")
  { printf "$(octal $((1 + ${#2} + len)))"; printf "\\$(printf '%03o' ${#2})"; printf '%s' "$2"; cat "$3"; } > "$OUT/record"
  append_records "$1" "$OUT/record" "${4:-0}"
}
# Stores a configuration as operators do.
store_configuration() { # JSON
  tr -d '\n' <<< "$1" > "$OUT/configuration"
  store_record keyed.op config "$OUT/configuration"
}
# Prints the address port of the daemon that owns a partition.
member_of() { # PARTITION
  curl -s "http://127.0.0.1:$base/api/log-owners?group=owners" | tr -d ' ' | grep -o ",$1,\"127.0.0.1:[0-9]*" | grep -o '[0-9]*$'
}
# Prints the index of the daemon that owns a partition.
owner_of() { local p; p=$(member_of "$1") && echo $(((p - $(port 0) - 2) / 4)); } # PARTITION
owned() { local d; d=$(owner_of "$1") && kill -0 "${PID[$d]}" 2> /dev/null; } # PARTITION
