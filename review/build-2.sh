#!/bin/sh
# Builds what the scripts in review/4 to review/8 start besides the daemon. Their
# stand-ins are written in Python and need no build; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing"; exit 1; }
for file in review/[4-8]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
