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

// Evaluate answers a question. The answers are sorted by kind and name. The
// error is that of a malformed selector.
func Evaluate(q Question, in Inputs) ([]Answer, error) {
	sel, err := policy.ParseSelector(q.Selector)
	if err != nil {
		return nil, err
	}
	answers := []Answer{} // not nil, which JSON would show as null
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

// group judges a database group: it is down when it cannot acknowledge
// writes, degraded when a member is missing or lags.
func (in *Inputs) group(g policy.DatabaseGroup) Answer {
	a := Answer{Kind: KindGroup, Name: g.Name, Labels: g.Labels, Status: Up}
	state := in.State.Groups[g.Name]
	a.Facts = in.facts(state.Members)
	var primary ServerFacts
	reachable, silent := 0, 0
	var missing, lagging []string
	for _, f := range a.Facts.Servers {
		if f.Primary {
			primary = f
		}
		switch {
		case !f.Known:
			silent++
			missing = append(missing, f.Server)
		case f.Reachable:
			reachable++
			a.AgeMS = max(a.AgeMS, f.AgeMS)
		default:
			missing = append(missing, f.Server)
		}
		if f.Known && f.LagLSN > lagLimit {
			lagging = append(lagging, f.Server)
		}
	}
	majority := g.Members/2 + 1
	switch {
	case in.Seen == nil:
		a.set(Unknown, "control did not answer")
	case len(state.Members) < g.Members:
		a.set(Down, fmt.Sprintf("%d of %d declared members have announced themselves", len(state.Members), g.Members))
	case state.Phase != controlrpc.PhaseSteady:
		a.set(Down, "no primary: a new one is being chosen")
	case !primary.Known:
		a.set(Unknown, fmt.Sprintf("no fresh report about the primary %s", state.Primary))
	case !primary.Reachable:
		a.set(Down, fmt.Sprintf("the primary %s does not answer", state.Primary))
	case reachable+silent < majority:
		a.set(Down, fmt.Sprintf("members %v do not answer: no majority", missing))
	case reachable < majority:
		a.set(Unknown, fmt.Sprintf("no fresh report about members %v", missing))
	case len(missing) > 0:
		a.set(Degraded, fmt.Sprintf("members %v do not answer or are not reported", missing))
	case len(lagging) > 0:
		a.set(Degraded, fmt.Sprintf("replicas %v lag by more than %d records", lagging, lagLimit))
	case len(a.Facts.FullQueues) > 0:
		a.set(Degraded, fmt.Sprintf("work of ranks %v is refused: queues are full", a.Facts.FullQueues))
	}
	return a
}

// pool judges a proxy pool by the heartbeats of its hosts. Without any live
// host it is unknown, like its silent hosts.
func (in *Inputs) pool(p policy.ProxyPool) Answer {
	a := Answer{Kind: KindPool, Name: p.Name, Labels: p.Labels, Status: Up}
	sel, err := policy.ParseSelector(p.Hosts)
	if err != nil {
		a.set(Unknown, err.Error())
		return a
	}
	silent := 0
	for id, h := range in.State.Hosts {
		if !sel.Matches(id, hostLabels(h)) {
			continue
		}
		a.Facts.HostsDeclared++
		seen := in.Seen[id]
		if !seen.Live {
			silent++
			continue
		}
		if !h.Draining && !in.State.Draining[id] {
			a.Facts.HostsLive++
			a.AgeMS = max(a.AgeMS, seen.Age.Milliseconds())
		}
	}
	switch {
	case in.Seen == nil:
		a.set(Unknown, "control did not answer")
	case a.Facts.HostsDeclared == 0:
		a.set(Unknown, "no host matches the selector of the pool")
	case a.Facts.HostsLive == 0 && silent > 0:
		a.set(Unknown, fmt.Sprintf("no heartbeat of %d of %d hosts, the others are draining", silent, a.Facts.HostsDeclared))
	case a.Facts.HostsLive == 0:
		a.set(Down, "all hosts of the pool are draining")
	case a.Facts.HostsLive < a.Facts.HostsDeclared:
		a.set(Degraded, fmt.Sprintf("%d of %d hosts are live", a.Facts.HostsLive, a.Facts.HostsDeclared))
	}
	return a
}

// rank judges a traffic rank over all groups.
func (in *Inputs) rank(r policy.TrafficRank) Answer {
	a := Answer{Kind: KindRank, Name: r.Name, Labels: r.Labels, Status: Up}
	a.Facts.SuccessRate = 1
	queued, full, known, silent, unreachable := 0, 0, 0, 0, 0
	for id, server := range in.State.Servers {
		if !slices.Contains(in.State.Groups[server.Group].Members, id) {
			continue // was replaced, or is a spare
		}
		obs, ok := in.After.Servers[id]
		if !ok || (obs.Status.Reachable && obs.Status.HeardAge >= maxAge) {
			silent++
			continue
		}
		known++
		if !obs.Status.Reachable {
			unreachable++
		}
		queued += obs.Status.Load.Queued[r.Name]
		if slices.Contains(obs.Status.Load.Full, r.Name) {
			full++
		}
		a.Facts.ServiceMS = max(a.Facts.ServiceMS, millis(obs.Status.Load.Service))
	}
	a.Facts.Queued = map[string]int{r.Name: queued}
	switch {
	case in.Seen == nil:
		// Entries refuse all work soon after control is lost.
		a.set(Unknown, "control did not answer")
	case known == 0:
		a.set(Unknown, "no owner reported")
	case unreachable == known && silent == 0:
		a.set(Down, "no backend server answers")
	case full > 0:
		a.set(Degraded, fmt.Sprintf("the queue is full at %d of %d backend servers", full, known))
	case silent > 0:
		a.set(Unknown, fmt.Sprintf("no fresh report about %d of %d backend servers", silent, known+silent))
	case unreachable > 0:
		a.set(Degraded, fmt.Sprintf("%d of %d backend servers do not answer", unreachable, known))
	}
	return a
}

// host judges a host by its heartbeats. A silent host is unknown: it may be
// dead, or only cut off from control.
func (in *Inputs) host(h controlrpc.Host) Answer {
	a := Answer{Kind: KindHost, Name: h.ID, Labels: hostLabels(h), Status: Up}
	seen, ok := in.Seen[h.ID]
	a.AgeMS = seen.Age.Milliseconds()
	a.Facts.HeartbeatAgeMS = a.AgeMS
	switch {
	case in.Seen == nil:
		a.set(Unknown, "control did not answer")
	case !ok || !seen.Live:
		a.set(Unknown, fmt.Sprintf("no heartbeat for %s", seen.Age.Round(time.Millisecond)))
	case h.Draining || in.State.Draining[h.ID]:
		a.set(Degraded, "the host is draining")
	case seen.ConfigVersion < in.State.ConfigVersion:
		a.set(Degraded, fmt.Sprintf("configuration %d is in force there, %d is accepted", seen.ConfigVersion, in.State.ConfigVersion))
	}
	return a
}

// facts collects the figures of some servers.
func (in *Inputs) facts(servers []string) Facts {
	f := Facts{SuccessRate: 1, Queued: make(map[string]int)}
	var ok, failed, refused uint64
	var newest uint64
	for _, id := range servers {
		newest = max(newest, in.After.Servers[id].Status.Applied.LSN)
	}
	full := make(map[string]bool)
	for _, id := range servers {
		sf := ServerFacts{Server: id}
		obs, known := in.After.Servers[id]
		if known {
			st := obs.Status
			sf = ServerFacts{
				Server: id, Owner: obs.Host, Primary: st.Primary,
				Known:     !st.Reachable || st.HeardAge < maxAge,
				Reachable: st.Reachable && st.HeardAge < maxAge,
				AgeMS:     st.HeardAge.Milliseconds(),
				LagLSN:    newest - st.Applied.LSN,
			}
			// Counters of two owners, or without an earlier sample, give no rate.
			if before, sampled := in.Before.Servers[id]; sampled && before.Host == obs.Host {
				ok += delta(st.Successes, before.Status.Successes)
				failed += delta(st.Failures, before.Status.Failures)
				refused += delta(st.Refused, before.Status.Refused)
			}
			for rank, n := range st.Load.Queued {
				f.Queued[rank] += n
			}
			for _, rank := range st.Load.Full {
				full[rank] = true
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
	f.FullQueues = slices.Sorted(maps.Keys(full))
	if ok+failed > 0 {
		f.SuccessRate = float64(ok) / float64(ok+failed)
	}
	if span := in.After.At.Sub(in.Before.At).Seconds(); span > 0 {
		f.CyclesPerSec = float64(ok+failed) / span
		f.RefusedPerSec = float64(refused) / span
	}
	return f
}

// primaryOf returns the primary of the group of a server.
func (in *Inputs) primaryOf(server string) string {
	return in.State.Groups[in.State.Servers[server].Group].Primary
}

func (a *Answer) set(s Status, cause string) { a.Status, a.Cause = s, cause }

func hostLabels(h controlrpc.Host) map[string]string {
	labels := map[string]string{"data_centre": h.DataCentre, "region": h.Region}
	maps.Copy(labels, h.Labels)
	return labels
}

// delta is the growth of a counter; a smaller value means a restart.
func delta(after, before uint64) uint64 {
	if after < before {
		return after
	}
	return after - before
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
