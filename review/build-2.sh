#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They are plain programs for Node.js without dependencies, so there is
# nothing to compile: their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in support-2/*.js [6-9]/case.js 10/case.js; do
	[ ! -e "$file" ] || node --check "$file"
done
