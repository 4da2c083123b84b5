// Command arbutusring is a database proxy for PostgreSQL with session
// consistency.
//
// # Usage
//
//	arbutusring dev                          runs a whole installation in one process
//	arbutusring entry    --settings FILE     runs the process of an entry host
//	arbutusring control  --settings FILE     runs the process of a control host
//	arbutusring gateway   --settings FILE    runs an entry host for groups whose servers announce their roles
//	arbutusring directory --settings FILE    runs a control host for such groups
//	arbutusring load     --dsn DSN ...       runs callers of several ranks and prints a report
//	arbutusring validate FILE ...            checks settings and configurations
//	arbutusring apply    FILE                puts a configuration into force
//	arbutusring get                          shows the configuration, groups, leases and hosts
//	arbutusring health   -l SELECTOR         shows what is up, degraded, down or unknown
//	arbutusring drain    ID                  takes a host or backend server out of service
//	arbutusring failover GROUP               asks for a new primary
//	arbutusring dump                         shows the state of one process
//
// Every command has --help. The operator commands take --address, the operator
// address of any entry or control host, and --output text or json.
//
// # Exit codes
//
//	0  done
//	1  failed
//	2  wrong arguments, settings or configuration
//	3  refused, for example because another change was accepted first
//	4  outcome unknown: the change may have been accepted; repeat the command
//	   with the same --change-id, and for apply the same --base-version and
//	   --operator
//	5  no process could be reached
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	c := newCommandLine(os.Args[1:], os.Stdout, os.Stderr)
	err := c.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "arbutusring:", err)
	}
	os.Exit(exitCode(err))
}
