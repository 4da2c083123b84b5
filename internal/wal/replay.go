package wal

// replay reconstructs the contents of the log from the items of its records.
type replay struct {
	hardState HardState
	base      uint64  // index before the first entry
	entries   []Entry // base+1, base+2, ...
}

func (r *replay) last() uint64 { return r.base + uint64(len(r.entries)) }

// applyRecord applies the items of one record. maxIndex is the greatest index of
// its entries.
func (r *replay) applyRecord(payload []byte, number uint64) (maxIndex uint64, err error) {
	d := decoder{rest: payload}
	for len(d.rest) > 0 && !d.failed {
		switch kind := d.byte(); kind {
		case itemSegment:
			if n := d.uvarint(); n != number {
				return 0, Error.New("the file name does not match segment number %d", n)
			}
		case itemHardState:
			r.hardState = HardState{Term: d.uvarint(), Vote: string(d.bytes()), BootstrapVote: string(d.bytes())}
		case itemEntry:
			e := Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: d.byte(), Data: d.bytes()}
			if d.failed {
				break
			}
			if err := r.addEntry(e); err != nil {
				return 0, err
			}
			maxIndex = max(maxIndex, e.Index)
		case itemReset:
			r.base, r.entries = d.uvarint(), nil
			_ = d.uvarint() // the term, which isn't needed
		default:
			return 0, Error.New("unknown item kind %d", kind)
		}
	}
	if d.failed {
		return 0, Error.New("malformed item")
	}
	return maxIndex, nil
}

// addEntry appends an entry, after removing those that it replaces.
func (r *replay) addEntry(e Entry) error {
	switch {
	case r.base == 0 && len(r.entries) == 0:
		// The segments before this entry were removed after a snapshot.
		r.base = e.Index - 1
	case e.Index <= r.base:
		r.base, r.entries = e.Index-1, nil
	case e.Index > r.last()+1:
		return Error.New("entry %d follows entry %d", e.Index, r.last())
	}
	r.entries = append(r.entries[:e.Index-1-r.base], e)
	return nil
}

// reconcile drops the entries that the snapshot includes. It drops the whole log
// if the log does not contain the last entry of the snapshot: the host crashed
// after it installed the snapshot and before it reset the log.
func (r *replay) reconcile(s *Snapshot) error {
	if s == nil {
		if r.base != 0 {
			return Error.New("the log starts after entry %d, but there is no snapshot", r.base)
		}
		return nil
	}
	switch {
	case r.base > s.Index:
		return Error.New("the log starts after entry %d, but the snapshot ends at entry %d", r.base, s.Index)
	case r.last() < s.Index, r.base < s.Index && r.entries[s.Index-1-r.base].Term != s.Term:
		r.entries = nil
	default:
		r.entries = append([]Entry(nil), r.entries[s.Index-r.base:]...)
	}
	r.base = s.Index
	return nil
}
