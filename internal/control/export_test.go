package control

// StepOf returns the kind of the first command of a log entry.
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

// Without returns the options with one mechanism disabled, to show that a test
// detects its absence. The empty name disables nothing.
func (o Options) Without(mechanism string) Options {
	d, unused := &o.disabled, false
	*map[string]*bool{
		"": &unused, "grant expiry": &d.grantExpiry, "leader grace period": &d.leaderGracePeriod, "majority": &d.majority,
		"fenced positions": &d.fencedPositions, "caught up": &d.caughtUp, "preparation": &d.intentLogging,
	}[mechanism] = true
	return o
}

// Choose exports choose to the tests.
var Choose = choose

// PlanMoves returns the plan for v if all hosts except the dead ones are live.
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
