// Package relay sends statements for a backend server through another host, the
// connector, which has connections to the server. Client is the sending side: its
// logical connections implement gateway.RelayedConn. Service is the side of the
// connector, which borrows a connection of its own gateway for each statement, or for
// a whole transaction.
//
// Two hosts share one peer.Stream in each direction of sending. A statement costs one
// frame and its answer another one. Frames are one byte for the kind and a MessagePack
// array; decoders ignore elements that they don't know.
//
// # Outcomes
//
// A call has not run if the connector refused it, or if its frame was not written as a
// whole. If it was written and no answer arrived, its outcome is unknown. A call is
// sent to a second connector only if it has not run at the first one.
//
// # Failures
//
// The end of a stream ends all calls on it. The connector then closes the connections
// that the peer's transactions and statements use, so that the server rolls back.
// Closing a logical connection does the same for its own transaction or statement.
//
// # Usage
//
//	service := relay.NewService(relay.ServiceOptions{Gateway: g, Events: events})
//	go service.Serve(ln)
//	defer service.Close()
//
//	client := relay.NewClient(relay.ClientOptions{Host: "e1", Events: events})
//	defer client.Close()
//	conn := client.Connect(server, customer, route)
//	a, err := conn.DoRelayed(deadline, gateway.RelayedStatement{Request: r})
package relay
