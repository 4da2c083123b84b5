package connector

// Host is a host that may become a connector. Hosts that are about to stop are left
// out of the list.
type Host struct {
	ID     string
	Region string
}
