package standin

// termRange is a contiguous range of records of one term.
type termRange struct {
	Term uint64 `codec:"t"`
	End  uint64 `codec:"e"` // LSN of the last record
}

// termHistory returns the term ranges of a log in order.
func termHistory(log []record) []termRange {
	var ranges []termRange
	for i := 0; i < len(log); {
		// Terms never decrease, so a binary search finds the end of the range.
		low, high := i, len(log)-1
		for low < high {
			mid := (low + high + 1) / 2
			if log[mid].Term == log[i].Term {
				low = mid
			} else {
				high = mid - 1
			}
		}
		ranges = append(ranges, termRange{Term: log[i].Term, End: log[low].LSN})
		i = low + 1
	}
	return ranges
}

// forkPoint returns the LSN of the last record that two logs have in common, or
// 0 if there is none. A term has at most one primary, so logs that contain the
// same position are equal up to it.
func forkPoint(a, b []termRange) uint64 {
	var fork uint64
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		fork = min(a[i].End, b[i].End)
		if a[i].End != b[i].End {
			break
		}
	}
	return fork
}
