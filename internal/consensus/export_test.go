package consensus

// Disable switches off one mechanism, so that a test can show that its checks
// detect the absence. It exists in tests only.
func (o *MachineOptions) Disable(mechanism string) {
	switch mechanism {
	case "":
	case "stickiness":
		o.faults.noStickiness = true
	case "vote delay after start":
		o.faults.noStartupVoteDelay = true
	case "no votes with an empty log":
		o.faults.voteWithEmptyLog = true
	case "commit of the current term only":
		o.faults.commitAnyTerm = true
	case "lease ends with transfer":
		o.faults.keepTransferLease = true
	default:
		panic("unknown mechanism " + mechanism)
	}
}
