// Package load generates load by traffic rank against one or several
// entry addresses and measures what each rank gets. While it runs, it checks
// what sessions observe.
//
// # Model
//
// A session is a connection with a rank, which executes one operation after
// the other on keys of its own: a read by key, or a write of the next number
// of the key. In a closed loop, the next operation follows the answer. In an
// open loop, operations arrive at random times at a given rate, and the time
// of an operation counts from its arrival, so a slow server can't hide its
// delays by slowing the load down.
//
// Sessions move between the DSNs and bring their session token along: they
// read it from the parameter status arbutusring.session_token and return it as
// the startup parameter of the same name.
//
// # Checks
//
// A read must return a number that is at least the last one that was
// acknowledged to the session before the read began (or before the read began
// less max_staleness), and one that was sent and not refused. After an unknown
// outcome the session abandons the key, because the write may still arrive.
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
