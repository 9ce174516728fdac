#!/bin/sh
# The stand-ins are Python and need no build: this checks that they can be read, with nothing but the standard library.
cd "$(dirname "$0")" || exit 1
for file in lib/*.py [1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 1
done
