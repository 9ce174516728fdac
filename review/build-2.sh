#!/bin/sh
# Checks the stand-ins of review/6 to review/10 and those of the project that they use. All of them are Python scripts, which need
# nothing built; the scripts start target/gspan-node, which the build command of deploy/system.toml makes.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[6-9]/*.py review/10/*.py test/soak/store.py test/soak/wire.py test/soak/writes.py \
            test/soak/partition.py scripts/fleet.py; do
  if [ -e "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
  fi
done
