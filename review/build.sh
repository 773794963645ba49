#!/bin/sh
# Checks the stand-ins and scripts. They are plain JavaScript without dependencies, so nothing is compiled.
cd "$(dirname "$0")" || exit 2
for file in support/*.js [1-5]/run.js; do
	[ -e "$file" ] || continue
	node --check "$file" || exit 1
done
