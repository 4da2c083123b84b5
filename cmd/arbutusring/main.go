// Command arbutusring is a database proxy for PostgreSQL with session
// consistency.
//
// # Usage
//
//	arbutusring dev                          a whole installation in one process
//	arbutusring entry    --settings FILE     the process of an entry host
//	arbutusring control  --settings FILE     the process of a control host
//	arbutusring gateway   --settings FILE    an entry host of groups that announce their roles
//	arbutusring directory --settings FILE    a control host of such groups
//	arbutusring load     --dsn DSN ...       callers of several ranks and a report
//	arbutusring validate FILE ...            checks settings and configurations
//	arbutusring apply    FILE                puts a configuration into force
//	arbutusring get                          configuration, groups, leases, hosts
//	arbutusring health   -l SELECTOR         what is up, degraded, down or unknown
//	arbutusring drain    ID                  takes a host or backend server out of service
//	arbutusring failover GROUP               asks for a new primary
//	arbutusring dump                         state of one process
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
