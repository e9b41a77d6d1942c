package store

// Ranges of tasks are stored as a flat list: from, to (exclusive), from, to…

// PackRanges returns the ranges of the flags that are set.
func PackRanges(flags []bool) []int {
	var ranges []int
	for from := 0; from < len(flags); from++ {
		if !flags[from] {
			continue
		}
		to := from
		for to < len(flags) && flags[to] {
			to++
		}
		ranges = append(ranges, from, to)
		from = to
	}
	return ranges
}

// SetFlags sets the flags within the ranges; parts of a range outside the flags are ignored.
func SetFlags(ranges []int, flags []bool) {
	for i := 0; i+1 < len(ranges); i += 2 {
		for task := max(0, ranges[i]); task < min(ranges[i+1], len(flags)); task++ {
			flags[task] = true
		}
	}
}

// CountRanges returns the number of tasks within the ranges.
func CountRanges(ranges []int) int {
	count := 0
	for i := 0; i+1 < len(ranges); i += 2 {
		count += ranges[i+1] - ranges[i]
	}
	return count
}

// countRangesWithin returns the number of tasks that are both within the ranges and within
// [from, to).
func countRangesWithin(ranges []int, from, to int) int {
	count := 0
	for i := 0; i+1 < len(ranges); i += 2 {
		count += max(0, min(ranges[i+1], to)-max(ranges[i], from))
	}
	return count
}
