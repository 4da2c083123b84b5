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

// peerServer serves a service on loopback and counts the traffic of its clients.
type peerServer struct {
	srv     *peer.Server
	address string
	traffic capacity.Traffic
}

func startPeerServer(b *testing.B, name string, service any) *peerServer {
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
// this process: processor time and memory are the sum of both.
func BenchmarkPeerIdle(b *testing.B) {
	for b.Loop() {
		cpu := newSeries("processor time of both ends", "connections", "ms/s")
		traffic := newSeries("bytes in both directions", "connections", "1/s")
		writes := newSeries("messages from the client", "connections", "1/s")
		memory := newSeries("memory of both ends", "connections", "bytes")
		for _, n := range []int{50, 100, 300, 1000, 3000} {
			memoryBefore := capacity.MemoryInUse()
			p := startPeerServer(b, "", nil)
			pools := make([]*peer.Pool, n)
			for i := range pools {
				pools[i] = p.pool()
				if err := pools[i].Call(context.Background(), p.address, "Peer.Ping", &peer.PingArgs{}, new(peer.PingReply)); err != nil {
					b.Fatal(err)
				}
			}
			memory.Add(float64(n), capacity.MemoryInUse()-memoryBefore)
			cpuBefore, bytesBefore, writesBefore := capacity.ProcessorTime(), p.traffic.TotalBytes(), p.traffic.Writes.Load()
			const interval = 4 * time.Second
			time.Sleep(interval)
			seconds := interval.Seconds()
			cpu.Add(float64(n), ms(capacity.ProcessorTime()-cpuBefore)/seconds)
			traffic.Add(float64(n), float64(p.traffic.TotalBytes()-bytesBefore)/seconds)
			writes.Add(float64(n), float64(p.traffic.Writes.Load()-writesBefore)/seconds)
			for _, pool := range pools {
				pool.Close()
			}
			p.stop()
		}
		printSeries(cpu, traffic, writes, memory)
	}
}

// BenchmarkHeartbeat measures heartbeats of hosts over a loopback connection,
// without the heartbeats of the connection itself (Peer.Ping). Processor time is
// the sum of both ends.
func BenchmarkHeartbeat(b *testing.B) {
	for b.Loop() {
		cpu := newSeries("processor time of both ends", "hosts", "us/heartbeat")
		traffic := newSeries("request and reply", "hosts", "bytes/heartbeat")
		for _, hosts := range []int{50, 150, 500, 1500, 4800} {
			f := capacity.Fleet{Groups: hosts * capacity.DesignGroups / capacity.DesignHosts, Hosts: hosts}
			members := capacity.NewMembers(f, memberCallDelay)
			leader, err := capacity.StartLeader(f, 0, control.Options{
				Members: members.ControlMembers(), Revoke: capacity.NewHosts(f).Revoke(0), FollowEvery: time.Hour, TTL: time.Hour,
			})
			if err != nil {
				b.Fatal(err)
			}
			p := startPeerServer(b, "Control", leader.Service())
			pool := p.pool()
			sendHeartbeat := func(i int) {
				args := &controlrpc.HeartbeatArgs{Host: f.Host(i), StateVersion: 1 << 40, ConfigVersion: 1 << 20}
				reply := new(controlrpc.HeartbeatReply)
				if err := pool.Call(context.Background(), p.address, "Control.Heartbeat", args, reply); err != nil {
					b.Fatal(err)
				}
				if len(reply.Leases) == 0 {
					b.Fatal("no leases in the reply", reply.Answer)
				}
			}
			sendHeartbeat(0)
			time.Sleep(time.Second) // until every member has been ordered to follow its primary
			cpuBefore := capacity.ProcessorTime()
			time.Sleep(time.Second)
			idleCPU := capacity.ProcessorTime() - cpuBefore // per second, without heartbeats
			bytesBefore, n := p.traffic.TotalBytes(), 0
			cpuBefore = capacity.ProcessorTime()
			start := time.Now()
			for time.Since(start) < 2*time.Second || n < hosts {
				sendHeartbeat(n % hosts)
				n++
			}
			cpu.Add(float64(hosts), (us(capacity.ProcessorTime()-cpuBefore)-us(idleCPU)*time.Since(start).Seconds())/float64(n))
			traffic.Add(float64(hosts), float64(p.traffic.TotalBytes()-bytesBefore)/float64(n))
			pool.Close()
			p.stop()
			leader.Shutdown()
		}
		printSeries(cpu, traffic)
	}
}

// BenchmarkAnnounce measures announcements that do not change the state, as every
// backend server sends them once a second, over a loopback connection.
func BenchmarkAnnounce(b *testing.B) {
	f := capacity.NewFleet(300)
	for b.Loop() {
		members := capacity.NewMembers(f, memberCallDelay)
		leader, err := capacity.StartLeader(f, 0, control.Options{
			Members: members.ControlMembers(), Revoke: capacity.NewHosts(f).Revoke(0), FollowEvery: time.Hour, TTL: time.Hour,
		})
		if err != nil {
			b.Fatal(err)
		}
		p := startPeerServer(b, "Control", leader.Service())
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
		bytesBefore, cpuBefore := p.traffic.TotalBytes(), capacity.ProcessorTime()
		for i := range n {
			announce(i % 300)
		}
		b.ReportMetric(us(capacity.ProcessorTime()-cpuBefore)/n, "cpu-us/announcement")
		b.ReportMetric(float64(p.traffic.TotalBytes()-bytesBefore)/n, "bytes/announcement")
		pool.Close()
		p.stop()
		leader.Shutdown()
	}
}
