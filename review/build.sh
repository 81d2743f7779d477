#!/usr/bin/env bash
# Prepares the stand-ins of the scripts in this folder.  They are written for Python 3, which the
# build of the project needs as well (Meson), and use only its standard library.  The project's own
# programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins/*.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
echo "stand-ins: ok"
