package consensus

// Break switches off one mechanism, so that a test can show that its checks
// notice. It exists in tests only.
func (o *MachineOptions) Break(mechanism string) {
	switch mechanism {
	case "":
	case "stickiness":
		o.faults.noStickiness = true
	case "restart quiet time":
		o.faults.noRestartQuiet = true
	case "empty log votes never":
		o.faults.emptyVotes = true
	case "commit of the own term only":
		o.faults.commitAnyTerm = true
	case "lease ends with transfer":
		o.faults.keepTransferLease = true
	default:
		panic("unknown mechanism " + mechanism)
	}
}
