# Prints the figures of BenchmarkDaemon beside the users' limits.
BEGIN {
	limit["core-%"] = 2.8; limit["MB"] = 32; limit["KB/s"] = 17; limit["in-force-p99-ms"] = 8000
	printf "%-28s %-16s %10s %10s  %s\n", "run", "what", "measured", "limit", "result"
}
/^BenchmarkDaemon/ {
	for (i = 3; i < NF; i += 2) {
		unit = $(i + 1)
		if (unit in limit)
			printf "%-28s %-16s %10.2f %10.2f  %s\n", substr($1, 17), unit, $i, limit[unit], ($i <= limit[unit] ? "met" : "MISSED")
	}
}
