// Package peer provides RPC between the processes of an installation: net/rpc
// with a msgpack codec over one TCP connection from each process to each host
// that it calls. Both ends close a connection on which no heartbeat or other data
// arrives; the next call opens a new one.
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
// and errkind.ServerLost when it may have been sent and no answer arrived. The
// results and errors of the service itself are in the reply.
package peer
