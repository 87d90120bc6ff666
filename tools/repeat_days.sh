#!/bin/bash
# Plays days of the platform's bench many times, since a rare fault of a day shows in a few of its plays only. Prints the
# plays with a broken rule of those played, and the mean worth, for each day and seed.
#
# usage: FB=PATH_OF_FLEETBENCH repeat_days.sh OUT_DIR PLAYS JOBS SITE.toml DAY[:SEED]...
#
# DAY is a standard day of the site, its own seed where none is given, or a file. Reports of broken plays are kept in OUT_DIR, and
# so is the line of each play, in plays.txt. Exits with 1 if a play was broken or not played.
set -euo pipefail
[ $# -ge 5 ] || { sed -n '2,/^set/s/^# \{0,1\}//p' "$0"; exit 2; }
out=$1 plays=$2 jobs=$3 site=$4
shift 4
mkdir -p "$out"

play() {
	local out=$1 site=$2 day=${3%%:*} seed= number=$4 report line
	[ "$3" = "$day" ] || seed=${3#*:}
	report="$out/$(basename "${site%.toml}")-$(basename "${day%.toml}")${seed:+-$seed}-$number.log"
	"$FB" run "$site" "$day" ${seed:+--seed "$seed"} --no-cpu --jobs 1 >"$report" 2>&1 || true
	line=$(grep -E "^$(basename "${day%.toml}") +[0-9]+/" "$report" | head -1) || line=
	case $line in
	'') echo "$3 not-played - - $report" ;;
	*BROKEN*) awk -v day="$3" -v at="$report" '{print day, "broken", $4, $5, at}' <<<"$line" ;;
	*) awk -v day="$3" '{print day, "sound", $4, $5, "-"}' <<<"$line" && rm "$report" ;;
	esac
}
export -f play

"$FB" build >/dev/null
for day in "$@"; do
	for number in $(seq "$plays"); do
		printf '%s\0%s\0%s\0%s\0' "$out" "$site" "$day" "$number"
	done
done | xargs -0 -n 4 -P "$jobs" bash -c 'play "$@"' play >"$out/plays.txt"
awk '{
	if (!($1 in played)) order[++days] = $1
	played[$1] += $2 != "not-played"; broken[$1] += $2 == "broken"; missing[$1] += $2 == "not-played"
	if ($2 != "not-played") { worth[$1] += $3; squares[$1] += $3 * $3; served[$1] += $4 }
}
END {
	for (i = 1; i <= days; i++) {
		d = order[i]; n = played[d] ? played[d] : 1; mean = worth[d] / n
		printf "%-24s %d of %d broken, %d not played; worth %.3f (standard error %.3f), served %.3f\n", d, broken[d],
			played[d], missing[d], mean, sqrt((squares[d] / n - mean * mean) / n), served[d] / n
		bad += broken[d] + missing[d]
	}
	exit bad > 0
}' "$out/plays.txt"
