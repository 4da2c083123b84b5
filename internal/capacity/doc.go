// Package capacity measures how the resource use and latency of each component
// of arbutusring scale with the number of groups, hosts, connections and
// statements. docs/CAPACITY.md holds the results.
//
// The measurements are benchmarks that run the real components against small
// fakes of their dependencies: a log without disk and quorum, members and
// owners that answer after a fixed delay. Each benchmark prints its measured
// points and a fitted line.
//
// # Usage
//
//	go test -run '^$' -bench . -benchtime 1x -cpu 3 ./internal/capacity
package capacity
