package directory

// maxDepartures is how many departed servers are remembered. A late announcement
// arrives within seconds of its departure.
const maxDepartures = 4096

// departure records that the processes of a server that were started at Born or
// earlier have departed.
type departure struct {
	ID   string `codec:"i"`
	Born int64  `codec:"b"` // in Unix milliseconds
}

// departures holds the latest departures, oldest first. It is part of the
// replicated state: an announcement that was delayed on its way would otherwise
// bring a server back that has left.
type departures struct {
	order []departure
	born  map[string]int64 // by server id
}

func newDepartures(order []departure) departures {
	d := departures{order: order, born: make(map[string]int64, len(order))}
	for _, o := range order {
		d.born[o.ID] = max(d.born[o.ID], o.Born)
	}
	return d
}

// add records a departure. Without the start time of the process, a late
// announcement can't be told from that of a new process, so none is recorded.
func (d *departures) add(id string, born int64) {
	if born == 0 || born <= d.born[id] {
		return
	}
	d.order = append(d.order, departure{id, born})
	d.born[id] = born
	if len(d.order) > maxDepartures {
		if oldest := d.order[0]; d.born[oldest.ID] == oldest.Born {
			delete(d.born, oldest.ID)
		}
		d.order = d.order[1:]
	}
}

// includes reports whether the process of a server that was started at born has
// departed.
func (d *departures) includes(id string, born int64) bool { return born != 0 && born <= d.born[id] }
