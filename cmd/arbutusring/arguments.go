package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// arguments are the arguments of one command, split for the parser.
type arguments struct {
	rest  []string // for the parser
	files []string // positional values of a command that takes a list
}

// checkArguments finds the mistakes that the parser would ignore or answer by
// ending the process: unknown flags, missing values, and missing or surplus
// positional values. It takes a list of files out of the arguments, because
// the parser supports no list of positional values.
func checkArguments(args []string, commands []command, subs []*flaggy.Subcommand) (arguments, error) {
	if len(args) == 0 {
		return arguments{}, errors.New("no command was given")
	}
	if isHelp(args[0]) {
		return arguments{rest: args}, nil
	}
	at := slices.IndexFunc(commands, func(c command) bool { return c.name == args[0] })
	if at < 0 {
		return arguments{}, fmt.Errorf("%q is not a command", args[0])
	}
	cmd, sub := commands[at], subs[at]
	a := arguments{rest: args[:1:1]}
	var positional []string
	for i := 1; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			positional = append(positional, args[i])
			continue
		}
		if isHelp(args[i]) {
			return arguments{rest: []string{cmd.name, args[i]}}, nil
		}
		a.rest = append(a.rest, args[i])
		takesNext, err := checkFlag(sub, args[i])
		if err != nil {
			return arguments{}, err
		}
		if !takesNext {
			continue
		}
		if i+1 == len(args) {
			return arguments{}, fmt.Errorf("%s: %s needs a value", cmd.name, args[i])
		}
		i++
		a.rest = append(a.rest, args[i])
	}
	if cmd.list {
		a.files = positional
		return a, nil
	}
	a.rest = append(a.rest, positional...)
	return a, checkPositional(sub, positional)
}

func isHelp(arg string) bool { return arg == "--help" || arg == "-h" }

// checkFlag reports whether the value of a flag is the next argument.
func checkFlag(sub *flaggy.Subcommand, arg string) (bool, error) {
	name, _, joined := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	for _, f := range sub.Flags {
		if name != "" && f.HasName(name) {
			_, isBool := f.AssignmentVar.(*bool)
			return !joined && !isBool, nil
		}
	}
	return false, fmt.Errorf("%s: unknown flag %s", sub.Name, arg)
}

func checkPositional(sub *flaggy.Subcommand, values []string) error {
	want := sub.PositionalFlags
	if len(values) < len(want) {
		return fmt.Errorf("%s: %s is missing", sub.Name, want[len(values)].Name)
	}
	if len(values) > len(want) {
		return fmt.Errorf("%s: unexpected argument %q", sub.Name, values[len(want)])
	}
	return nil
}
