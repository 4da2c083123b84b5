// Package peer connects the project's own processes with each other: net/rpc
// with a msgpack codec over one TCP connection per pair, heartbeats in both
// directions, and replacement of connections that have gone silent.
//
// # Usage
//
//	srv := peer.NewServer(peer.ServerOptions{})
//	err := srv.Register("Owner", ownerService)
//	go srv.Serve(ln)
//
//	pool := peer.NewPool(peer.PoolOptions{})
//	err = pool.Call(ctx, "127.0.0.1:7001", "Owner.Exec", &args, &reply)
//
// Call's error has kind errkind.ConnectFailed when the request was not sent,
// and errkind.ServerLost when it was sent and no answer came. Everything the
// service itself has to say is in the reply.
package peer
