package health

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/pkg/policy"
)

// Evaluate answers a question. The answers are sorted by kind and name. It returns
// an error if the selector is malformed.
func Evaluate(q Question, in Inputs) ([]Answer, error) {
	sel, err := policy.ParseSelector(q.Selector)
	if err != nil {
		return nil, err
	}
	answers := []Answer{} // not nil, which would be encoded as null in JSON
	add := func(a Answer) {
		if (q.Kind == "" || q.Kind == a.Kind) && sel.Matches(a.Name, a.Labels) {
			answers = append(answers, a)
		}
	}
	for _, g := range in.Config.DatabaseGroups {
		add(in.group(g))
	}
	for _, p := range in.Config.ProxyPools {
		add(in.pool(p))
	}
	for _, r := range in.Config.Ranks() {
		add(in.rank(r))
	}
	for _, h := range in.State.Hosts {
		add(in.host(h))
	}
	slices.SortFunc(answers, func(a, b Answer) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return answers, nil
}

// group evaluates a database group. The group is down if it can't acknowledge
// writes, and degraded if a member is missing or lagging or a queue is full.
func (in *Inputs) group(g policy.DatabaseGroup) Answer {
	a := Answer{Kind: KindGroup, Name: g.Name, Labels: g.Labels, Status: Up}
	state := in.State.Groups[g.Name]
	a.Facts = in.facts(state.Members)
	var primary ServerFacts
	reachable, unreported := 0, 0
	var missing, lagging []string
	for _, f := range a.Facts.Servers {
		if f.Primary {
			primary = f
		}
		switch {
		case !f.Known:
			unreported++
			missing = append(missing, f.Server)
		case f.Reachable:
			reachable++
			a.AgeMS = max(a.AgeMS, f.AgeMS)
		default:
			missing = append(missing, f.Server)
		}
		if f.Known && f.LagLSN > maxLagRecords {
			lagging = append(lagging, f.Server)
		}
	}
	majority := g.Members/2 + 1
	switch {
	case in.Heartbeats == nil:
		a.set(Unknown, "control did not answer")
	case len(state.Members) < g.Members:
		a.set(Down, fmt.Sprintf("%d of %d declared members have announced themselves", len(state.Members), g.Members))
	case state.Phase != controlrpc.PhaseSteady:
		a.set(Down, "no primary: a new one is being chosen")
	case !primary.Known:
		a.set(Unknown, fmt.Sprintf("no fresh report about the primary %s", state.Primary))
	case !primary.Reachable:
		a.set(Down, fmt.Sprintf("the primary %s does not answer", state.Primary))
	case reachable+unreported < majority:
		a.set(Down, fmt.Sprintf("members %v do not answer: no majority", missing))
	case reachable < majority:
		a.set(Unknown, fmt.Sprintf("no fresh report about members %v", missing))
	case len(missing) > 0:
		a.set(Degraded, fmt.Sprintf("members %v do not answer or are not reported", missing))
	case len(lagging) > 0:
		a.set(Degraded, fmt.Sprintf("replicas %v lag by more than %d records", lagging, maxLagRecords))
	case len(a.Facts.FullQueues) > 0:
		a.set(Degraded, fmt.Sprintf("work of ranks %v is refused: queues are full", a.Facts.FullQueues))
	}
	return a
}

// pool evaluates a proxy pool by the heartbeats of its hosts. If it has no live
// host and a heartbeat is missing, it is unknown.
func (in *Inputs) pool(p policy.ProxyPool) Answer {
	a := Answer{Kind: KindPool, Name: p.Name, Labels: p.Labels, Status: Up}
	sel, err := policy.ParseSelector(p.Hosts)
	if err != nil {
		a.set(Unknown, err.Error())
		return a
	}
	noHeartbeat := 0
	for id, h := range in.State.Hosts {
		if !sel.Matches(id, hostLabels(h)) {
			continue
		}
		a.Facts.HostsDeclared++
		heartbeat := in.Heartbeats[id]
		if !heartbeat.Live {
			noHeartbeat++
			continue
		}
		if !h.Draining && !in.State.Draining[id] {
			a.Facts.HostsLive++
			a.AgeMS = max(a.AgeMS, heartbeat.Age.Milliseconds())
		}
	}
	switch {
	case in.Heartbeats == nil:
		a.set(Unknown, "control did not answer")
	case a.Facts.HostsDeclared == 0:
		a.set(Unknown, "no host matches the selector of the pool")
	case a.Facts.HostsLive == 0 && noHeartbeat > 0:
		a.set(Unknown, fmt.Sprintf("no heartbeat of %d of %d hosts, the others are draining", noHeartbeat, a.Facts.HostsDeclared))
	case a.Facts.HostsLive == 0:
		a.set(Down, "all hosts of the pool are draining")
	case a.Facts.HostsLive < a.Facts.HostsDeclared:
		a.set(Degraded, fmt.Sprintf("%d of %d hosts are live", a.Facts.HostsLive, a.Facts.HostsDeclared))
	}
	return a
}

// rank evaluates a traffic rank over all groups.
func (in *Inputs) rank(r policy.TrafficRank) Answer {
	a := Answer{Kind: KindRank, Name: r.Name, Labels: r.Labels, Status: Up}
	a.Facts.SuccessRate = 1
	queued, fullQueues, reported, unreported, unreachable := 0, 0, 0, 0, 0
	for id, server := range in.State.Servers {
		if !slices.Contains(in.State.Groups[server.Group].Members, id) {
			continue // replaced or spare server
		}
		obs, ok := in.After.Servers[id]
		if !ok || (obs.Status.Reachable && obs.Status.LastAnswerAge >= maxReportAge) {
			unreported++
			continue
		}
		reported++
		if !obs.Status.Reachable {
			unreachable++
		}
		queued += obs.Status.Load.Queued[r.Name]
		if slices.Contains(obs.Status.Load.Full, r.Name) {
			fullQueues++
		}
		a.Facts.ServiceMS = max(a.Facts.ServiceMS, millis(obs.Status.Load.Service))
	}
	a.Facts.Queued = map[string]int{r.Name: queued}
	switch {
	case in.Heartbeats == nil:
		// Entry hosts refuse all statements soon after they lose contact with control.
		a.set(Unknown, "control did not answer")
	case reported == 0:
		a.set(Unknown, "no owner reported")
	case unreachable == reported && unreported == 0:
		a.set(Down, "no backend server answers")
	case fullQueues > 0:
		a.set(Degraded, fmt.Sprintf("the queue is full at %d of %d backend servers", fullQueues, reported))
	case unreported > 0:
		a.set(Unknown, fmt.Sprintf("no fresh report about %d of %d backend servers", unreported, reported+unreported))
	case unreachable > 0:
		a.set(Degraded, fmt.Sprintf("%d of %d backend servers do not answer", unreachable, reported))
	}
	return a
}

// host evaluates a host by its heartbeats. A host without a heartbeat is unknown:
// it may have crashed, or only be partitioned from control.
func (in *Inputs) host(h controlrpc.Host) Answer {
	a := Answer{Kind: KindHost, Name: h.ID, Labels: hostLabels(h), Status: Up}
	heartbeat, ok := in.Heartbeats[h.ID]
	a.AgeMS = heartbeat.Age.Milliseconds()
	a.Facts.HeartbeatAgeMS = a.AgeMS
	switch {
	case in.Heartbeats == nil:
		a.set(Unknown, "control did not answer")
	case !ok || !heartbeat.Live:
		a.set(Unknown, fmt.Sprintf("no heartbeat for %s", heartbeat.Age.Round(time.Millisecond)))
	case h.Draining || in.State.Draining[h.ID]:
		a.set(Degraded, "the host is draining")
	case heartbeat.ConfigVersion < in.State.ConfigVersion:
		a.set(Degraded, fmt.Sprintf("configuration %d is in force there, %d is accepted", heartbeat.ConfigVersion, in.State.ConfigVersion))
	}
	return a
}

// facts returns the measurements of the given servers.
func (in *Inputs) facts(servers []string) Facts {
	f := Facts{SuccessRate: 1, Queued: make(map[string]int)}
	var ok, failed, refused uint64
	var highestLSN uint64
	for _, id := range servers {
		highestLSN = max(highestLSN, in.After.Servers[id].Status.Applied.LSN)
	}
	fullQueues := make(map[string]bool)
	for _, id := range servers {
		sf := ServerFacts{Server: id}
		obs, known := in.After.Servers[id]
		if known {
			st := obs.Status
			sf = ServerFacts{
				Server: id, Owner: obs.Host, Primary: st.Primary,
				Known:     !st.Reachable || st.LastAnswerAge < maxReportAge,
				Reachable: st.Reachable && st.LastAnswerAge < maxReportAge,
				AgeMS:     st.LastAnswerAge.Milliseconds(),
				LagLSN:    highestLSN - st.Applied.LSN,
			}
			// A rate needs two samples of the counters of the same owner.
			if before, sampled := in.Before.Servers[id]; sampled && before.Host == obs.Host {
				ok += delta(st.Successes, before.Status.Successes)
				failed += delta(st.Failures, before.Status.Failures)
				refused += delta(st.Refused, before.Status.Refused)
			}
			for rank, n := range st.Load.Queued {
				f.Queued[rank] += n
			}
			for _, rank := range st.Load.Full {
				fullQueues[rank] = true
			}
			if st.Primary {
				f.ServiceMS = millis(st.Load.Service)
			}
		}
		if id == in.primaryOf(id) {
			sf.Primary = true
		}
		f.Servers = append(f.Servers, sf)
	}
	f.FullQueues = slices.Sorted(maps.Keys(fullQueues))
	if ok+failed > 0 {
		f.SuccessRate = float64(ok) / float64(ok+failed)
	}
	if span := in.After.At.Sub(in.Before.At).Seconds(); span > 0 {
		f.CyclesPerSec = float64(ok+failed) / span
		f.RefusedPerSec = float64(refused) / span
	}
	return f
}

// primaryOf returns the id of the primary of the group of a server.
func (in *Inputs) primaryOf(server string) string {
	return in.State.Groups[in.State.Servers[server].Group].Primary
}

func (a *Answer) set(s Status, cause string) { a.Status, a.Cause = s, cause }

func hostLabels(h controlrpc.Host) map[string]string {
	labels := map[string]string{"data_centre": h.DataCentre, "region": h.Region}
	maps.Copy(labels, h.Labels)
	return labels
}

// delta returns the increase of a counter. A smaller value means that the counter
// restarted from 0.
func delta(after, before uint64) uint64 {
	if after < before {
		return after
	}
	return after - before
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
