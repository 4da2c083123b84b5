// Package operator is the HTTP/JSON interface of a process for operators, the
// platform's load balancer and backend servers, and the client that the operator
// commands use.
//
// # Paths
//
//	GET  /v1/ready        200 while the process can serve, else 503; for the load balancer
//	POST /v1/announce     a backend server announces itself
//	POST /v1/apply        a new configuration
//	GET  /v1/state        replicated state and what each host has in force
//	POST /v1/drain        takes a host or backend server out of service
//	POST /v1/failover     asks for a new primary of a group
//	GET  /v1/health       health of what ?selector=...&kind=... matches
//	GET  /v1/dump         state of the process
//	GET  /v1/metrics      metrics of the process
//	GET  /metrics         the same as text, one value a line
//
// Every answer below /v1 is JSON with keys in snake_case. An error answer is a
// controlrpc.Answer with a kind of pkg/errkind; the HTTP status is 200 for a
// decision of control, 400 for a malformed request, 503 when control cannot be
// reached.
//
// # Usage
//
//	srv := operator.NewServer(operator.Handlers{...}, log)
//	go srv.Serve(ln)
//
//	c := operator.Client{Address: "127.0.0.1:8001"}
//	reply, err := c.Apply(ctx, args)
package operator

import "github.com/arbutusring/arbutusring/internal/controlrpc"

// AnnounceAnswer is the answer to an announcement.
type AnnounceAnswer struct {
	controlrpc.Answer
}
