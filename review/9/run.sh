#!/usr/bin/env bash
# A body that comes by a transfer coding besides chunked is run as something else.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
stage=$root/target/review/stage-2
[ -x "$stage" ] && [ -x "$root/target/release/juniperspoke" ] || exit 2
exec "$stage" codings "$root" "$PWD/record.txt"
