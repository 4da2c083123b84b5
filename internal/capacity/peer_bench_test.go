package capacity_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/capacity"
	"github.com/arbutusring/arbutusring/internal/control"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/peer"
)

// peerServer serves a service on loopback and counts what its clients see.
type peerServer struct {
	srv     *peer.Server
	address string
	traffic capacity.Traffic
}

func startPeer(b *testing.B, name string, service any) *peerServer {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	p := &peerServer{srv: peer.NewServer(peer.ServerOptions{}), address: ln.Addr().String()}
	if service != nil {
		if err := p.srv.Register(name, service); err != nil {
			b.Fatal(err)
		}
	}
	go func() { _ = p.srv.Serve(ln) }()
	return p
}

func (p *peerServer) pool() *peer.Pool {
	return peer.NewPool(peer.PoolOptions{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &capacity.CountingConn{Conn: conn, Traffic: &p.traffic}, nil
	}})
}

func (p *peerServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = p.srv.Shutdown(ctx)
}

// BenchmarkPeerIdle measures idle connections between hosts. Both ends are in
// this process: processor time and memory are those of a pair of ends.
func BenchmarkPeerIdle(b *testing.B) {
	for b.Loop() {
		cpu := series("processor time of both ends", "connections", "ms/s")
		traffic := series("bytes in both directions", "connections", "1/s")
		writes := series("messages from the client", "connections", "1/s")
		memory := series("memory of both ends", "connections", "bytes")
		for _, n := range []int{50, 100, 300, 1000, 3000} {
			before := capacity.Memory()
			p := startPeer(b, "", nil)
			pools := make([]*peer.Pool, n)
			for i := range pools {
				pools[i] = p.pool()
				if err := pools[i].Call(context.Background(), p.address, "Peer.Ping", &peer.PingArgs{}, new(peer.PingReply)); err != nil {
					b.Fatal(err)
				}
			}
			memory.Add(float64(n), capacity.Memory()-before)
			used, bytes, count := capacity.ProcessorTime(), p.traffic.Total(), p.traffic.Writes.Load()
			const length = 4 * time.Second
			time.Sleep(length)
			s := length.Seconds()
			cpu.Add(float64(n), ms(capacity.ProcessorTime()-used)/s)
			traffic.Add(float64(n), float64(p.traffic.Total()-bytes)/s)
			writes.Add(float64(n), float64(p.traffic.Writes.Load()-count)/s)
			for _, pool := range pools {
				pool.Close()
			}
			p.stop()
		}
		report(cpu, traffic, writes, memory)
	}
}

// BenchmarkHeartbeat measures heartbeats of hosts over loopback connections,
// one connection for each host, without the heartbeats of the connections.
// Processor time is that of both ends.
func BenchmarkHeartbeat(b *testing.B) {
	for b.Loop() {
		cpu := series("processor time of both ends", "hosts", "us/heartbeat")
		traffic := series("request and reply", "hosts", "bytes/heartbeat")
		for _, hosts := range []int{50, 150, 500, 1500, 4800} {
			f := capacity.Fleet{Groups: hosts * capacity.DesignGroups / capacity.DesignHosts, Hosts: hosts}
			members := capacity.NewMembers(f, memberDelay)
			leader, err := capacity.StartLeader(f, 0, control.Options{
				Members: members.Functions(), Revoke: capacity.NewHosts(f).Revoke(0), FollowEvery: time.Hour, TTL: time.Hour,
			})
			if err != nil {
				b.Fatal(err)
			}
			p := startPeer(b, "Control", leader.Service())
			pool := p.pool()
			beat := func(i int) {
				args := &controlrpc.HeartbeatArgs{Host: f.Host(i), StateVersion: 1 << 40, ConfigVersion: 1 << 20}
				reply := new(controlrpc.HeartbeatReply)
				if err := pool.Call(context.Background(), p.address, "Control.Heartbeat", args, reply); err != nil {
					b.Fatal(err)
				}
				if len(reply.Leases) == 0 {
					b.Fatal("no leases in the reply", reply.Answer)
				}
			}
			beat(0)
			time.Sleep(time.Second) // until every member has been told whom to follow
			used := capacity.ProcessorTime()
			time.Sleep(time.Second)
			idle := capacity.ProcessorTime() - used // per second, of the work that heartbeats don't cause
			bytes, n := p.traffic.Total(), 0
			used = capacity.ProcessorTime()
			began := time.Now()
			for time.Since(began) < 2*time.Second || n < hosts {
				beat(n % hosts)
				n++
			}
			cpu.Add(float64(hosts), (us(capacity.ProcessorTime()-used)-us(idle)*time.Since(began).Seconds())/float64(n))
			traffic.Add(float64(hosts), float64(p.traffic.Total()-bytes)/float64(n))
			pool.Close()
			p.stop()
			leader.End()
		}
		report(cpu, traffic)
	}
}

// BenchmarkAnnounce measures announcements that change nothing, as every backend
// server makes them once a second, over a loopback connection.
func BenchmarkAnnounce(b *testing.B) {
	f := capacity.NewFleet(300)
	for b.Loop() {
		members := capacity.NewMembers(f, memberDelay)
		leader, err := capacity.StartLeader(f, 0, control.Options{
			Members: members.Functions(), Revoke: capacity.NewHosts(f).Revoke(0), FollowEvery: time.Hour, TTL: time.Hour,
		})
		if err != nil {
			b.Fatal(err)
		}
		p := startPeer(b, "Control", leader.Service())
		pool := p.pool()
		announce := func(g int) {
			args, reply := &controlrpc.AnnounceArgs{Server: f.Server(g, 1)}, new(controlrpc.AnnounceReply)
			if err := pool.Call(context.Background(), p.address, "Control.Announce", args, reply); err != nil || reply.Kind != "" {
				b.Fatal(err, reply.Answer)
			}
		}
		for g := range 300 {
			announce(g)
		}
		const n = 10_000
		bytes, used := p.traffic.Total(), capacity.ProcessorTime()
		for i := range n {
			announce(i % 300)
		}
		b.ReportMetric(us(capacity.ProcessorTime()-used)/n, "cpu-us/announcement")
		b.ReportMetric(float64(p.traffic.Total()-bytes)/n, "bytes/announcement")
		pool.Close()
		p.stop()
		leader.End()
	}
}
