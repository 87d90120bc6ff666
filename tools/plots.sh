#!/bin/sh
# Plots fragmentation and the longest wait of a large job over time, for jaycourse and for first-fit.
# $1 is the folder of the programs, $2 the folder for the plots.
set -eu
bin=$1
out=$2
mkdir -p "$out"
for size in nefeli sonhario two-year; do
	"$bin/jaycourse-bench" workload --size "$size" --seed 1 --fleet "$out/$size-fleet.json" \
		--workload "$out/$size-work.jsonl"
	for policy in jaycourse first-fit; do
		"$bin/jaycourse-bench" place --fleet "$out/$size-fleet.json" \
			--workload "$out/$size-work.jsonl" --policy "$policy" \
			--timeline "$out/$size-$policy.dat" --json >"$out/$size-$policy.json"
	done
	gnuplot <<PLOT
set terminal pngcairo size 1200,800
set output "$out/$size.png"
set multiplot layout 2,1 title "$size, seed 1"
set xlabel "hours"
set key top left
set ylabel "fragmentation"
plot "$out/$size-first-fit.dat" using (\$1/3600):2 with lines title "first-fit", \
     "$out/$size-jaycourse.dat" using (\$1/3600):2 with lines title "jaycourse"
set ylabel "longest wait of a large job, hours"
plot "$out/$size-first-fit.dat" using (\$1/3600):(\$3/3600) with lines title "first-fit", \
     "$out/$size-jaycourse.dat" using (\$1/3600):(\$3/3600) with lines title "jaycourse"
unset multiplot
PLOT
	echo "$out/$size.png"
done
