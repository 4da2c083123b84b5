package main

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/health"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/policy"
	"github.com/integrii/flaggy"
)

// waitPollInterval is the interval at which --wait asks which hosts have a
// version in force.
const waitPollInterval = 100 * time.Millisecond

func (c *commandLine) client() operator.Client { return operator.Client{Address: c.address} }

func (c *commandLine) addApply(sub *flaggy.Subcommand) {
	c.addChange(sub)
	sub.Int64(&c.baseVersion, "", "base-version", "version that the change was made from; -1 for the version in force")
	sub.Bool(&c.wait, "w", "wait", "wait until every live entry host has it in force")
	sub.AddPositionalValue(&c.positionalValue, "FILE", 1, true, "configuration (TOML)")
}

func (c *commandLine) addGet(sub *flaggy.Subcommand) {
	c.addOperator(sub)
	sub.Bool(&c.wait, "w", "wait", "wait until every live entry host has the configuration in force")
}

func (c *commandLine) addHealth(sub *flaggy.Subcommand) {
	c.addOperator(sub)
	sub.String(&c.selector, "l", "selector", "selector over labels, for example 'region in (munster),tier!=bulk'")
	sub.String(&c.kind, "k", "kind", "database_group, proxy_pool, traffic_rank or host; default all")
}

func (c *commandLine) addDrain(sub *flaggy.Subcommand) {
	c.addChange(sub)
	sub.Bool(&c.undo, "u", "undo", "put it back into service")
	sub.AddPositionalValue(&c.positionalValue, "ID", 1, true, "id of the host or backend server")
}

func (c *commandLine) addFailover(sub *flaggy.Subcommand) {
	c.addOperator(sub)
	sub.AddPositionalValue(&c.positionalValue, "GROUP", 1, true, "name of the database group")
}

// fillChange sets the flags of a change that were not given and prints the
// change id before the change is sent, so that the operator can resend it after
// a lost answer.
func (c *commandLine) fillChange() {
	if c.changeID == "" {
		c.changeID = rand.Text()
	}
	c.operator = cmp.Or(c.operator, os.Getenv("USER"), "unknown")
	fmt.Fprintf(c.stderr, "change id %s\n", c.changeID)
}

func (c *commandLine) runApply(ctx context.Context) error {
	text, err := os.ReadFile(c.positionalValue)
	if err != nil {
		return usageError{err}
	}
	if _, err := policy.ParseNew(c.positionalValue, string(text)); err != nil {
		return usageError{err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	base, err := c.resolveBaseVersion(ctx)
	if err != nil {
		return err
	}
	c.fillChange()
	fmt.Fprintf(c.stderr, "after a lost answer, repeat with --change-id %s --base-version %d --operator %s\n", c.changeID, base, c.operator)
	reply, err := c.client().Apply(ctx, &controlrpc.ApplyArgs{
		ChangeID: c.changeID, BaseVersion: base, Operator: c.operator, Text: string(text),
	})
	if err != nil {
		return err
	}
	if err := c.printApply(reply); err != nil {
		return err
	}
	if c.wait {
		return c.waitInForce(ctx, reply.Version)
	}
	return nil
}

// resolveBaseVersion returns the version that the change is made from. A resend
// must name the version of the first attempt: with the version in force it would
// be a different change, which could overwrite one that was accepted in between.
func (c *commandLine) resolveBaseVersion(ctx context.Context) (uint64, error) {
	if c.baseVersion >= 0 {
		return uint64(c.baseVersion), nil
	}
	if c.changeID != "" {
		return 0, usageError{errors.New("apply: --change-id needs --base-version")}
	}
	current, err := c.client().State(ctx)
	if err != nil {
		return 0, err
	}
	if current.Kind != errkind.OK {
		return 0, errkind.New(current.Kind, "%s", current.Detail)
	}
	return current.State.ConfigVersion, nil
}

func (c *commandLine) printApply(reply *controlrpc.ApplyReply) error {
	if c.output == outputJSON {
		if err := c.printJSON(reply); err != nil {
			return err
		}
	}
	if reply.Kind == errkind.Conflict {
		return errkind.New(reply.Kind, "version %d by %s (change %s) was accepted first", reply.Version, reply.WonBy, reply.WonChange)
	}
	if reply.Kind != errkind.OK {
		return errkind.New(reply.Kind, "%s", reply.Detail)
	}
	if c.output == outputText {
		fmt.Fprintf(c.stdout, "version %d accepted\n", reply.Version)
	}
	return nil
}

// waitInForce waits until every live entry host reports the version.
func (c *commandLine) waitInForce(ctx context.Context, version uint64) error {
	for {
		reply, err := c.client().State(ctx)
		if err == nil && reply.Kind == errkind.OK {
			outdated := hostsWithOlderConfig(reply, version)
			if len(outdated) == 0 {
				fmt.Fprintf(c.stderr, "version %d is in force at every live entry host\n", version)
				return nil
			}
			err = fmt.Errorf("version %d is not in force at %v", version, outdated)
		}
		select {
		case <-ctx.Done():
			return errors.Join(err, ctx.Err())
		case <-time.After(waitPollInterval):
		}
	}
}

// hostsWithOlderConfig returns the sorted ids of the live hosts that report a
// configuration version below version.
func hostsWithOlderConfig(reply *controlrpc.GetReply, version uint64) []string {
	var ids []string
	for id, seen := range reply.Heartbeats {
		if seen.Live && seen.ConfigVersion < version {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *commandLine) runGet(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.client().State(ctx)
	if err != nil {
		return err
	}
	if reply.Kind != errkind.OK {
		return errkind.New(reply.Kind, "%s", reply.Detail)
	}
	if c.wait {
		if err := c.waitInForce(ctx, reply.State.ConfigVersion); err != nil {
			return err
		}
	}
	if c.output == outputJSON {
		return c.printJSON(reply)
	}
	c.printState(reply)
	return nil
}

func (c *commandLine) printState(reply *controlrpc.GetReply) {
	fmt.Fprintf(c.stdout, "configuration version %d\n", reply.State.ConfigVersion)
	for _, name := range slices.Sorted(maps.Keys(reply.State.Groups)) {
		g := reply.State.Groups[name]
		fmt.Fprintf(c.stdout, "group  %s  %s  term %d  primary %s\n", name, g.Phase, g.Term, cmp.Or(g.Primary, "none"))
		for _, id := range g.Members {
			fmt.Fprintf(c.stdout, "  server  %s  %s  owner %s\n", id, reply.State.Servers[id].Address,
				cmp.Or(reply.State.Leases[id].Host, "none"))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(reply.Heartbeats)) {
		seen := reply.Heartbeats[id]
		fmt.Fprintf(c.stdout, "host  %s  live %t  heartbeat %s ago  configuration %d\n", id, seen.Live,
			seen.Age.Round(time.Millisecond), seen.ConfigVersion)
	}
}

func (c *commandLine) runDrain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	c.fillChange()
	reply, err := c.client().Drain(ctx, &controlrpc.DrainArgs{ID: c.positionalValue, Undo: c.undo, ChangeID: c.changeID})
	if err != nil {
		return err
	}
	return c.printAnswer(reply.Answer, "accepted")
}

func (c *commandLine) runFailover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := c.client().Failover(ctx, &controlrpc.FailoverArgs{Group: c.positionalValue})
	if err != nil {
		return err
	}
	return c.printAnswer(reply.Answer, "accepted")
}

func (c *commandLine) printAnswer(a controlrpc.Answer, successText string) error {
	if c.output == outputJSON {
		if err := c.printJSON(a); err != nil {
			return err
		}
	}
	if a.Kind != errkind.OK {
		return errkind.New(a.Kind, "%s", a.Detail)
	}
	if c.output == outputText {
		fmt.Fprintln(c.stdout, successText)
	}
	return nil
}

func (c *commandLine) runDump(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	raw, err := c.client().Dump(ctx)
	if err != nil {
		return err
	}
	return c.printJSON(raw)
}

func (c *commandLine) runHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var answers []health.Answer
	if err := c.client().Health(ctx, c.kind, c.selector, &answers); err != nil {
		return err
	}
	if c.output == outputJSON {
		return c.printJSON(answers)
	}
	for _, a := range answers {
		fmt.Fprintf(c.stdout, "%-8s  %s  %s  facts up to %d ms old  %s\n", a.Status, a.Kind, a.Name, a.AgeMS, a.Cause)
	}
	return nil
}
