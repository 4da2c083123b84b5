package allowance_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/allowance"
	"github.com/arbutusring/arbutusring/internal/directoryrpc"
	"github.com/arbutusring/arbutusring/internal/msgpack"
)

// BenchmarkLedger measures the cost of one call at the leader, the memory for each host
// and the sizes of calls, for 4,800 hosts that each hold tokens of five of 1,000
// customers and report a change of two of them.
func BenchmarkLedger(b *testing.B) {
	const hosts, customers, held = 4800, 1000, 5
	now := time.Now()
	limits := map[string]allowance.Limit{}
	for i := range customers {
		limits[fmt.Sprintf("customer%d", i)] = allowance.Limit{Rate: 100, Burst: 100}
	}
	before := heap()
	l := allowance.NewLedger(allowance.LedgerOptions{ID: 1, Params: platform, TTL: testTTL, Hold: testHold, Now: now})
	l.SetLimits(now, limits)
	call := func(host, n int, args *directoryrpc.AllowanceArgs) *directoryrpc.AllowanceReply {
		args.Host = directoryrpc.Host{ID: fmt.Sprintf("gateway-%d", host), Incarnation: "dk3f9a0zq1"}
		args.Sequence, args.Ledger = uint64(n), 1
		return l.Process(now, args)
	}
	use := func(host, i int) directoryrpc.AllowanceUse {
		return directoryrpc.AllowanceUse{Customer: fmt.Sprintf("customer%d", (host*7+i*131)%customers), Waiting: 1, Wanted: 1}
	}
	for host := range hosts {
		args := &directoryrpc.AllowanceArgs{Full: true}
		for i := range held {
			args.Customers = append(args.Customers, use(host, i))
		}
		call(host, 1, args)
	}
	memory := float64(heap()-before) / hosts
	var args *directoryrpc.AllowanceArgs
	var reply *directoryrpc.AllowanceReply
	calls := 0
	for b.Loop() {
		host := calls % hosts
		args = &directoryrpc.AllowanceArgs{}
		for i := range 2 {
			u := use(host, i)
			u.Used, u.Held, u.Waiting = uint64(calls/hosts+1), 1, 0
			args.Customers = append(args.Customers, u)
		}
		reply = call(host, 2+calls/hosts, args)
		calls++
		now = now.Add(time.Second / hosts / 2)
	}
	b.ReportMetric(memory, "B/host")
	b.ReportMetric(float64(len(msgpack.Encode(args))), "B/request")
	b.ReportMetric(float64(len(msgpack.Encode(reply))), "B/reply")
	b.ReportMetric(float64(len(msgpack.Encode(directoryrpc.AllowanceArgs{Host: args.Host, Sequence: 1000, Ledger: 7}))), "B/renewal")
	b.ReportMetric(float64(len(msgpack.Encode(directoryrpc.AllowanceReply{TTL: testTTL, Ledger: 7, Renewed: true}))), "B/renewal-reply")
}

// heap returns the bytes of live objects.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
