package operator

// readiness is the body of the answer to /v1/ready.
type readiness struct {
	Ready bool `json:"ready"`
}
