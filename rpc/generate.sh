#!/bin/sh
# Regenerates the committed XDR code.  Needs rpcgen; the build does not.
set -eu
cd "$(dirname "$0")"
for part in peer record work; do
  rm -f $part.h $part-xdr.c
  rpcgen -M -h -o $part.h $part.x
  rpcgen -M -c -o $part-xdr.c $part.x
  sed -i "s|#include \"$part.h\"|#include \"rpc/$part.h\"|" $part-xdr.c
done
sed -i 's|#include <rpc/rpc.h>|#include <rpc/rpc.h>\n#include "rpc/peer.h"|' record.h
rm -f peer-client.c peer-server.c
rpcgen -M -l -o peer-client.c peer.x
rpcgen -M -m -o peer-server.c peer.x
sed -i 's|#include "peer.h"|#include "rpc/peer.h"|' peer-client.c peer-server.c
