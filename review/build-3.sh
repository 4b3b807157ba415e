#!/bin/sh
# Checks the stand-ins of the third review; they are Python files that need
# no packages. They run with the Python that the deploy file names.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path('.').glob('*/*.py')):
    if path.parent.name in ('common-3', '11', '12', '13', '14', '15'):
        compile(path.read_text(), str(path), 'exec')
EOF
