package control

// statePart is a part of the state that is copied and reported separately.
type statePart int

const (
	partServers statePart = iota
	partHosts
	partLeases
	partGroups
	partDraining
	partConfig
	partCount // number of parts
)

// maxHistory is how many changes of single objects are kept for watchers. The
// loss of a data centre with a ninth of 4,800 hosts and 30,000 servers changes
// about 10,000 objects within seconds.
const maxHistory = 20_000

// objectKey identifies an object of the state.
type objectKey struct {
	part statePart
	id   string
}
