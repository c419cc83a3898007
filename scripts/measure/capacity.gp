# Share of its budget that each control section of docs/CAPACITY.md uses.
set terminal pngcairo size 1000,560 font ",10"
set bmargin 9
set rmargin 16
set output "docs/img/capacity.png"
set datafile separator ","
set style fill solid 0.7
set boxwidth 0.6
set ylabel "share of the budget"
set logscale y
set yrange [0.001:200]
set grid y
set xtics rotate by -25 font ",8"
set key off
set arrow from graph 0, first 1 to graph 1, first 1 nohead lw 2 lc rgb "red"
plot "docs/capacity_budgets.csv" using 0:2:xtic(1) with boxes
