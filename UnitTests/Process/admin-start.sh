#!/usr/bin/env bash
# Guards against a starting control process that answers operators' calls with 404, as if it did not
# know them: callers take that for a final answer.
set -euo pipefail
cd "$(dirname "$0")/../.."
source Build/cluster.sh
trap 'code=$?; end_all; rm -rf "$work"; exit $code' EXIT

starts=10
for n in $(seq "$starts"); do
    rm -rf "$work/data1"
    start_control 1
    deadline=$((SECONDS + 20)) status=000
    # 000: nobody listens yet.
    while [ "$status" = 000 ]; do
        [ "$SECONDS" -lt "$deadline" ] || { echo "FAILED: no answer in 20 s" >&2; exit 1; }
        status=$(curl -s --noproxy '*' -o /dev/null -w '%{http_code}' -X POST \
            http://127.0.0.1:7100/admin/v1/bootstrap || true)
    done
    [ "$status" != 404 ] || { echo "FAILED: the first answer of start $n is 404" >&2; exit 1; }
    end_process control1 KILL
done
