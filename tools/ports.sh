# Finds free loopback ports for a test; to be sourced.  Tests may run in parallel in the same range.
taken() { (exec 3<> "/dev/tcp/127.0.0.1/$1") 2> /dev/null; }
# Prints the first port of a block in which none of the ports at the given OFFSETs is in use.  There
# are N blocks of SIZE ports from FROM on; the search starts at a block derived from the process id.
# Fails when there is no such block.
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
