package process

import (
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
)

// hostList is the list of hosts that control has sent.
type hostList struct {
	list    map[string]directoryrpc.Host
	version uint64 // 0 if there is none
	pending bool   // control will send it; assumed before the first reply
}

// describeHost adds to a request what control needs so that hosts can share
// connections: the address of this host at its start and while connectors are used,
// and then also the version of the list that it has.
func (p *Gateway) describeHost(args *directoryrpc.SyncArgs) {
	if p.relay == nil {
		return
	}
	shares := p.gateway.SharesConnections()
	if !shares && args.Version != 0 {
		return
	}
	args.Host.PeerAddress, args.Host.DataCentre = p.PeerAddress(), p.opts.Settings.Host.DataCentre
	args.Host.Draining = p.gateway.Draining()
	if shares {
		args.AsksHosts, args.HostsVersion = true, p.hosts.version
	}
}

// applyHosts applies the list of hosts in a reply. A list that does not apply to that
// of this host is dropped, and the next request asks for the whole one.
func (p *Gateway) applyHosts(args *directoryrpc.SyncArgs, reply *directoryrpc.SyncReply) {
	if !args.AsksHosts {
		return
	}
	next := hostList{list: p.hosts.list, version: p.hosts.version, pending: reply.HostsPending}
	if c := reply.Hosts; c != nil {
		var err error
		if next.list, err = c.Merge(p.hosts.list, p.hosts.version); err != nil {
			p.opts.Events.Event("hosts_not_applied").Err(err).Msg("a change of the list of hosts does not apply")
			p.hosts.version = 0
			return
		}
		next.version = c.Version
		p.opts.Events.Event("hosts_changed").Int("hosts", len(next.list)).Int("put", len(c.Put)).Int("removed", len(c.Removed)).
			Msg("the list of hosts that share connections has changed")
	}
	changed := next.version != p.hosts.version || next.pending != p.hosts.pending
	p.hosts = next
	if changed {
		p.gateway.SetHosts(next.list, next.pending)
	}
}
