package policy

import (
	"maps"

	"k8s.io/apimachinery/pkg/labels"
)

// nameLabel is the label that every object has besides its declared ones.
const nameLabel = "name"

// Selector matches sets of labels.
type Selector struct {
	sel labels.Selector
}

// ParseSelector reads a selector; the empty text matches everything.
func ParseSelector(text string) (Selector, error) {
	sel, err := labels.Parse(text)
	if err != nil {
		return Selector{}, Error.New("selector %q: %v", text, err)
	}
	return Selector{sel: sel}, nil
}

// Matches reports whether the selector matches the labels of the named object.
func (s Selector) Matches(name string, set map[string]string) bool {
	all := make(labels.Set, len(set)+1)
	maps.Copy(all, set)
	all[nameLabel] = name
	return s.sel.Matches(all)
}
