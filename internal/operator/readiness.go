package operator

// readiness is the answer to the load balancer.
type readiness struct {
	Ready bool `json:"ready"`
}
