// Package load is a load generator. It runs sessions of several traffic ranks
// against one or more entry addresses, measures latency and outcomes by rank,
// and checks the consistency of the values that the sessions read.
//
// # Model
//
// A session is a connection with a rank, which executes one operation after
// the other on keys of its own: a read by key, or a write of the next sequence
// number of the key. In a closed loop, the next operation starts after the
// answer to the previous one and the think time. In an open loop, operations
// arrive as a Poisson process at a given rate, and latency is measured from
// the arrival, so that a slow server can't hide its delays by slowing the load
// down (coordinated omission).
//
// Sessions move between the DSNs and keep their session token: they read it
// from the parameter status arbutusring.session_token and send it as the
// startup parameter of the same name.
//
// # Checks
//
// A read must return at least the last number that was acknowledged to the
// session before the read started (with max_staleness: before the start of the
// read minus max_staleness), and a number that was sent and not refused. After
// an unknown outcome the session abandons the key, because the write may still
// be executed.
//
// # Usage
//
//	report, err := load.Run(ctx, load.Options{
//		DSNs:     []string{"postgres://127.0.0.1:6432/orders?sslmode=disable"},
//		Duration: 10 * time.Second,
//		Ranks:    []load.Rank{{Name: "urgent", Sessions: 10, ReadShare: 0.9, Rate: 200}},
//	})
//	report.WriteText(os.Stdout)
package load
