#!/bin/bash
# The stand-ins of cases 6 to 10 are Python and need no build. Only checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in small_site.py */run.py; do
    case "$file" in small_site.py | 6/* | 7/* | 8/* | 9/* | 10/*)
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file" ;;
    esac
done
