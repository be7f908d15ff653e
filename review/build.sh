#!/bin/bash
# Builds what the scripts start beside the project's own programs: the stand-ins are Python, so this only checks that
# they compile. The programs themselves come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for each in standins/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$each"
done
