package main

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/integrii/flaggy"
)

// arguments are the arguments of one command, split into those that the parser
// handles and a list of files.
type arguments struct {
	parserArgs []string // arguments that the parser handles
	files      []string // positional values of a command that takes a list
}

// checkArguments returns an error for mistakes that the parser would ignore, or
// report by ending the process: unknown flags, missing values, and missing or
// surplus positional values. It takes a list of files out of the arguments,
// because the parser supports no list of positional values.
func checkArguments(args []string, commands []command, subs []*flaggy.Subcommand) (arguments, error) {
	if len(args) == 0 {
		return arguments{}, errors.New("no command was given")
	}
	if isHelp(args[0]) {
		return arguments{parserArgs: args}, nil
	}
	index := slices.IndexFunc(commands, func(c command) bool { return c.name == args[0] })
	if index < 0 {
		return arguments{}, fmt.Errorf("%q is not a command", args[0])
	}
	cmd, sub := commands[index], subs[index]
	a := arguments{parserArgs: args[:1:1]}
	var positional []string
	for i := 1; i < len(args); i++ {
		if !strings.HasPrefix(args[i], "-") {
			positional = append(positional, args[i])
			continue
		}
		if isHelp(args[i]) {
			return arguments{parserArgs: []string{cmd.name, args[i]}}, nil
		}
		a.parserArgs = append(a.parserArgs, args[i])
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
		a.parserArgs = append(a.parserArgs, args[i])
	}
	if cmd.takesFiles {
		a.files = positional
		return a, nil
	}
	a.parserArgs = append(a.parserArgs, positional...)
	return a, checkPositional(sub, positional)
}

func isHelp(arg string) bool { return arg == "--help" || arg == "-h" }

// checkFlag reports whether the value of a flag is the next argument. It returns
// an error for an unknown flag.
func checkFlag(sub *flaggy.Subcommand, arg string) (bool, error) {
	name, _, hasValue := strings.Cut(strings.TrimLeft(arg, "-"), "=")
	for _, f := range sub.Flags {
		if name != "" && f.HasName(name) {
			_, isBool := f.AssignmentVar.(*bool)
			return !hasValue && !isBool, nil
		}
	}
	return false, fmt.Errorf("%s: unknown flag %s", sub.Name, arg)
}

// checkPositional returns an error for missing and surplus positional values.
func checkPositional(sub *flaggy.Subcommand, values []string) error {
	declared := sub.PositionalFlags
	if len(values) < len(declared) {
		return fmt.Errorf("%s: %s is missing", sub.Name, declared[len(values)].Name)
	}
	if len(values) > len(declared) {
		return fmt.Errorf("%s: unexpected argument %q", sub.Name, values[len(declared)])
	}
	return nil
}
