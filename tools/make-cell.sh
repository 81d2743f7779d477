#!/bin/sh
# Writes the settings of a cell of two partners on loopback, of the present size of their cell: 7
# daemons per partner in three failure domains, 24 racks, 96 hosts.
#
#   tools/make-cell.sh FOLDER BASE_PORT PUBLIC_KEY_1 PUBLIC_KEY_2
#
# Ports from BASE_PORT on: RPC (+0) and HTTP (+20) of daemons, hosts (+40), log
# (+140), host list (+141); the audit record of the workers is at +142.
set -eu
folder=$1 base=$2 key1=$3 key2=$4
mkdir -p "$folder"
cell=$folder/cell.ini
rpc=$base http=$((base + 20)) host=$((base + 40))
log_port=$((base + 140)) list_port=$((base + 141))
cat > "$cell" <<EOF
[cell]
log=http://127.0.0.1:$log_port
host-list=http://127.0.0.1:$list_port
peer-key=a key that all daemons of the demo share
ranges=28
retention=10m

[partner zavisimost]
public-key=$key1

[partner cobranzas]
public-key=$key2
EOF

members() { # PARTNER PREFIX FIRST_DOMAIN
  for i in 0 1 2 3 4 5 6; do
    cat >> "$cell" <<EOF

[member $2$i]
partner=$1
domain=$(($3 + i % 3))
address=127.0.0.1
rpc-port=$rpc
http-port=$http
EOF
    printf '[daemon]\nname=%s\ncell=cell.ini\ndrain-time=10s\n' "$2$i" > "$folder/$2$i.ini"
    rpc=$((rpc + 1)) http=$((http + 1))
  done
}

racks() { # PARTNER NAME FIRST_DOMAIN RACKS HOSTS_IN_ALL PER_RACK CPU MEMORY ACCELERATORS
  left=$5
  r=0
  while [ "$r" -lt "$4" ]; do
    hosts=
    h=0
    while [ "$h" -lt "$6" ] && [ "$left" -gt 0 ]; do
      hosts="$hosts $2-$r-$h@127.0.0.1:$host"
      host=$((host + 1)) h=$((h + 1)) left=$((left - 1))
    done
    cat >> "$cell" <<EOF

[rack $2-$r]
partner=$1
domain=$(($3 + r % 3))
hosts=$hosts
cpu=$7
memory=$8
accelerators=$9
slots=8
EOF
    r=$((r + 1))
  done
}

members zavisimost sofia-entry- 0
members cobranzas lima-entry- 3
racks zavisimost intake 0 7 35 5 16 32G 0
racks zavisimost build 0 5 13 3 64 256G 8
racks cobranzas dispatch 3 7 35 5 64 256G 0
racks cobranzas voice 3 5 13 3 64 256G 8
