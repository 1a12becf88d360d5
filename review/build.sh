#!/bin/sh
# The stand-ins are Python programs of the standard library; this checks that they
# can be compiled.
set -e
cd "$(dirname "$0")"
python3 - *.py */*.py <<'END'
import sys
for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as source:
        compile(source.read(), name, 'exec')
END
