#!/usr/bin/env bash
# Clients within their third of the descriptors take a sidecar with the least memory over its limit.
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
stage=$root/target/review/stage-2
[ -x "$stage" ] && [ -x "$root/target/release/juniperspoke" ] || exit 2
exec "$stage" memory "$root" "$PWD/record.txt"
