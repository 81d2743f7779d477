# Ports of loopback for a test; sourced.  Another run of it may use the same ones.
taken() { (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }
# Prints the first port of the next of N blocks of SIZE ports from FROM on, begun at one by the
# process's id, of which no port at an OFFSET is taken.
free_block() { # FROM SIZE N OFFSET...
  local from=$1 size=$2 n=$3 i at offset
  shift 3
  for ((i = 0; i < n; i++)); do
    at=$((from + ($$ + i) % n * size))
    for offset in "$@"; do taken $((at + offset)) && continue 2; done
    echo "$at"
    return
  done
  return 1
}
