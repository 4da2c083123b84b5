package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"
)

// defaultOperatorAddress is the operator address that `arbutusring dev` uses.
const defaultOperatorAddress = "127.0.0.1:6480"

// Values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// commandLine is the parsed command line. Each command has a method that runs
// it and reads its arguments from the fields below.
type commandLine struct {
	args   []string
	stdout io.Writer
	stderr io.Writer

	settingsFile    string
	logLevel        string
	address         string
	output          string
	timeout         time.Duration
	changeID        string
	operator        string
	baseVersion     int64 // -1 for the version in force
	wait            bool
	undo            bool
	kind            string
	selector        string
	positionalValue string
	files           []string
	dev             devFlags
	load            loadFlags
}

// command is one subcommand of the command line.
type command struct {
	name       string
	help       string
	addFlags   func(sub *flaggy.Subcommand)
	run        func(ctx context.Context) error
	takesFiles bool // its positional values are a list of files
}

func newCommandLine(args []string, stdout, stderr io.Writer) *commandLine {
	return &commandLine{
		args:     args,
		stdout:   stdout,
		stderr:   stderr,
		logLevel: "info",
		address:  defaultOperatorAddress,
		output:   outputText,
		timeout:  10 * time.Second,
		dev:      defaultDevFlags(),
		// A change without a base version is based on the version in force.
		baseVersion: -1,
		load:        defaultLoadFlags(),
	}
}

func (c *commandLine) commands() []command {
	return []command{
		{"dev", "run a whole installation in one process on loopback", c.addDev, c.runDev, false},
		{"entry", "run the process of an entry host", c.addProcess, c.runEntry, false},
		{"control", "run the process of a control host", c.addProcess, c.runControl, false},
		{"gateway", "run the process of an entry host for announced groups", c.addProcess, c.runGateway, false},
		{"directory", "run the process of a control host for announced groups", c.addProcess, c.runDirectory, false},
		{"load", "run callers of several traffic ranks and print a report", c.addLoad, c.runLoad, false},
		{"validate", "check settings and configuration files: validate FILE ...", c.addOutput, c.runValidate, true},
		{"apply", "put a configuration into force: apply FILE", c.addApply, c.runApply, false},
		{"get", "show the configuration, groups, leases and hosts", c.addGet, c.runGet, false},
		{"health", "show what is up, degraded, down or unknown", c.addHealth, c.runHealth, false},
		{"drain", "take a host or backend server out of service: drain ID", c.addDrain, c.runDrain, false},
		{"failover", "ask for a new primary: failover GROUP", c.addFailover, c.runFailover, false},
		{"dump", "show the state of one process", c.addOperator, c.runDump, false},
	}
}

// run parses the arguments and runs the command. The parser ends the process
// only after --help.
func (c *commandLine) run(ctx context.Context) error {
	parser := flaggy.NewParser("arbutusring")
	parser.Description = "database proxy for PostgreSQL with session consistency"
	parser.ShowHelpOnUnexpected = false
	parser.ShowVersionWithVersionFlag = false
	parser.ShowCompletion = false
	var subs []*flaggy.Subcommand
	all := c.commands()
	for _, cmd := range all {
		sub := flaggy.NewSubcommand(cmd.name)
		sub.Description = cmd.help
		cmd.addFlags(sub)
		parser.AttachSubcommand(sub, 1)
		subs = append(subs, sub)
	}
	args, err := checkArguments(c.args, all, subs)
	if err != nil {
		return usageError{fmt.Errorf("%w; see --help", err)}
	}
	if err := parser.ParseArgs(args.parserArgs); err != nil {
		return usageError{err}
	}
	if c.output != outputText && c.output != outputJSON {
		return usageError{fmt.Errorf("--output %q is neither text nor json", c.output)}
	}
	c.files = args.files
	for i, sub := range subs {
		if sub.Used {
			return all[i].run(ctx)
		}
	}
	return usageError{errors.New("no command was given; see --help")}
}

func (c *commandLine) addOutput(sub *flaggy.Subcommand) {
	sub.String(&c.output, "o", "output", "text or json")
}

func (c *commandLine) addOperator(sub *flaggy.Subcommand) {
	c.addOutput(sub)
	sub.String(&c.address, "a", "address", "operator address of any entry or control host")
	sub.Duration(&c.timeout, "t", "timeout", "longest wait for the answer")
}

func (c *commandLine) addChange(sub *flaggy.Subcommand) {
	c.addOperator(sub)
	sub.String(&c.changeID, "", "change-id", "id of the change; repeat it to resend a change safely")
	sub.String(&c.operator, "", "operator", "name of the operator; default $USER")
}

// printJSON writes v as indented JSON.
func (c *commandLine) printJSON(v any) error {
	enc := json.NewEncoder(c.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

func (c *commandLine) logger(level string) (zerolog.Logger, error) {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Logger{}, usageError{fmt.Errorf("log level %q: %w", level, err)}
	}
	return zerolog.New(c.stderr).Level(l).With().Timestamp().Logger(), nil
}
