// Package connector chooses the hosts that open connections to a backend server
// when the server has fewer connections than there are hosts, or when each
// connection serves one customer only. All other hosts send their statements for
// the server through one of these connectors.
//
// The choice is a pure function of the list of hosts, so that every host makes the
// same choice without a message. It uses rendezvous hashing: the connectors of a
// server are the hosts of its region with the highest weights, and a weight depends
// on the server and on that host only. A change of one host therefore moves only
// the places of that host.
//
// # Usage
//
//	hosts := connector.NewHosts([]connector.Host{{ID: "e1", Region: "r1"}, {ID: "e2", Region: "r1"}})
//	choice := hosts.Choose("s1", "r1", connector.Usable(49))
//	limit := choice.LimitOf("e1")                // connections that e1 may open
//	first := choice.Order("e3", "r1")[0]         // connector for the statements of e3
//	next := choice.Order("e3", "r1")[1:]         // if the first one refuses
package connector
