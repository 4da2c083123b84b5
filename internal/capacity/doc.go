// Package capacity measures how the parts of arbutusring grow with the number
// of groups, hosts, connections and statements. docs/CAPACITY.md holds the
// results.
//
// The measurements are benchmarks, which run the real parts with small
// stand-ins for what surrounds them: a log without disk and quorum, members and
// owners that answer after a fixed time. Each benchmark prints its points and a
// fitted line.
//
// # Usage
//
//	go test -run '^$' -bench . -benchtime 1x -cpu 3 ./internal/capacity
package capacity
