package control

import "slices"

// index maps a name to a sorted list of ids. The lists are replaced and never
// changed in place, because views share them.
type index map[string][]string

func (x index) add(name, id string) {
	list := x[name]
	if at, found := slices.BinarySearch(list, id); !found {
		x[name] = slices.Insert(slices.Clone(list), at, id)
	}
}

func (x index) remove(name, id string) {
	list := x[name]
	at, found := slices.BinarySearch(list, id)
	switch {
	case !found:
	case len(list) == 1:
		delete(x, name)
	default:
		x[name] = slices.Delete(slices.Clone(list), at, at+1)
	}
}
