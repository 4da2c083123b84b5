package standin

// segment is a run of records of one term.
type segment struct {
	Term uint64 `codec:"t"`
	End  uint64 `codec:"e"` // LSN of its last record
}

// history returns the segments of a log in order.
func history(log []record) []segment {
	var h []segment
	for i := 0; i < len(log); {
		// Terms never decrease, so the end of a run is found by bisection.
		low, high := i, len(log)-1
		for low < high {
			mid := (low + high + 1) / 2
			if log[mid].Term == log[i].Term {
				low = mid
			} else {
				high = mid - 1
			}
		}
		h = append(h, segment{Term: log[i].Term, End: log[low].LSN})
		i = low + 1
	}
	return h
}

// forkPoint returns the LSN of the last record that two logs have in common.
// A term has one primary, so equal positions mean equal logs up to there.
func forkPoint(a, b []segment) uint64 {
	var fork uint64
	for i := 0; i < len(a) && i < len(b) && a[i].Term == b[i].Term; i++ {
		fork = min(a[i].End, b[i].End)
		if a[i].End != b[i].End {
			break
		}
	}
	return fork
}
