#!/usr/bin/env bash
# Plays the standard days of the deployments of the milestone in order, and prints each score and the mean worth of the
# days with trouble beside the last committed figures of deploy/regression.tsv. Exits with 1 if a gate fails or a figure
# is lower by NOISE or more. Run it with nothing else running: processor time counts.
set -euo pipefail
cd "$(dirname "$0")/.."

if [[ $# -lt 2 || $1 == --help ]]; then
    echo "usage: deploy/regression.sh BENCH SITES [OPTION...]" >&2
    echo "  BENCH   the program fleetbench; SITES the folder of the site files; options go to its score command" >&2
    exit 2
fi
bench=$1 sites=$2
shift 2
readonly NOISE=0.03
status=0

while IFS=$'\t' read -r site score worth; do
    [[ $site == \#* ]] && continue
    report=$("$bench" score "$sites/$site.toml" --why "regression run" "$@")
    new_score=$(sed -n 's/^score on the standard days of [^:]*: \([0-9.]*\).*/\1/p' <<<"$report")
    new_worth=$(awk '$1 ~ /^trouble-/ { sum += $4; days++ } END { if (days) printf "%.3f", sum / days }' <<<"$report")
    verdict=ok
    if ! grep -q '^GATE passed' <<<"$report"; then
        verdict='gate failed'
    elif ! awk -v a="$new_score" -v b="$score" -v c="$new_worth" -v d="$worth" -v noise="$NOISE" \
        'BEGIN { exit !(a > b - noise && c > d - noise) }'; then
        verdict=lower
    fi
    [[ $verdict == ok ]] || status=1
    printf '%s\tscore %s (%s)\tworth %s (%s)\t%s\n' \
        "$site" "$new_score" "$score" "$new_worth" "$worth" "$verdict"
done <deploy/regression.tsv
exit "$status"
