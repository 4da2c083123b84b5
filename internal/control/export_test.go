package control

// StepOf names the first command of a log entry.
func StepOf(entry []byte) string {
	var commands []Command
	if decode(entry, &commands, "entry") != nil || len(commands) == 0 {
		return ""
	}
	switch c := commands[0]; {
	case c.Revoke != nil:
		return "revoke"
	case c.Assign != nil:
		return "assign"
	case c.Begin != nil:
		return "begin"
	case c.Name != nil:
		return "name"
	}
	return "other"
}

// Without returns the options with one mechanism switched off, to show that a
// test detects its absence. The empty name switches nothing off.
func (o Options) Without(mechanism string) Options {
	switch mechanism {
	case "":
	case "run out":
		o.disabled.runOut = true
	case "new leader":
		o.disabled.newLeader = true
	case "majority":
		o.disabled.majority = true
	case "fenced positions":
		o.disabled.fenced = true
	case "caught up":
		o.disabled.caughtUp = true
	case "preparation":
		o.disabled.preparation = true
	default:
		panic("unknown mechanism " + mechanism)
	}
	return o
}

// PlanAll plans for hosts that are all well.
func PlanAll(v *View) (revoked, assigned int) {
	yes := func(holder) bool { return true }
	plan := makePlan(v, yes, yes, yes, false)
	return len(plan.Revoke), len(plan.Target)
}

// Choose is choose.
var Choose = choose

// PlanMoves plans for the given hosts, of which all are well but the dead.
func PlanMoves(v *View, dead map[string]bool) (revoke []string, target map[string]string) {
	live := func(h holder) bool { return !dead[h.host] }
	plan := makePlan(v, live, live, live, false)
	for _, l := range plan.Revoke {
		revoke = append(revoke, l.Server)
	}
	target = make(map[string]string)
	for id, h := range plan.Target {
		target[id] = h.host
	}
	return revoke, target
}
