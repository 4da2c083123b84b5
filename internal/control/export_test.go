package control

// StepOf names the first command of a log entry.
func StepOf(entry []byte) string {
	var commands []Command
	if decode(entry, &commands, "entry") != nil || len(commands) == 0 {
		return ""
	}
	c := commands[0]
	for name, is := range map[string]bool{"revoke": c.Revoke != nil, "assign": c.Assign != nil, "begin": c.Begin != nil, "name": c.Name != nil} {
		if is {
			return name
		}
	}
	return "other"
}

// Without returns the options with one mechanism switched off, to show that a
// test detects its absence. The empty name switches nothing off.
func (o Options) Without(mechanism string) Options {
	d, unused := &o.disabled, false
	*map[string]*bool{
		"": &unused, "run out": &d.runOut, "new leader": &d.newLeader, "majority": &d.majority,
		"fenced positions": &d.fenced, "caught up": &d.caughtUp, "preparation": &d.preparation,
	}[mechanism] = true
	return o
}

// Choose is choose.
var Choose = choose

// PlanMoves plans for the given hosts, of which all are well but the dead.
func PlanMoves(v *View, dead map[string]bool) (revoke []string, target map[string]string) {
	live := func(h holder) bool { return !dead[h.host] }
	plan := makePlan(v, live, live, live, func(string) string { return "" }, false)
	for _, l := range plan.Revoke {
		revoke = append(revoke, l.Server)
	}
	target = make(map[string]string)
	for id, h := range plan.Target {
		target[id] = h.host
	}
	return revoke, target
}
