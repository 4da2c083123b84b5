package policy

import (
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
	return s.sel.Matches(namedLabels{name: name, set: set})
}

// namedLabels holds the declared labels of an object and its name label.
type namedLabels struct {
	name string
	set  map[string]string
}

var _ labels.Labels = namedLabels{}

// Has reports whether the object has the label.
func (n namedLabels) Has(label string) bool {
	_, ok := n.Lookup(label)
	return ok
}

// Get returns the value of a label, or the empty string if there is none.
func (n namedLabels) Get(label string) string {
	value, _ := n.Lookup(label)
	return value
}

// Lookup returns the value of a label and whether there is one.
func (n namedLabels) Lookup(label string) (string, bool) {
	if label == nameLabel {
		return n.name, true
	}
	value, ok := n.set[label]
	return value, ok
}
