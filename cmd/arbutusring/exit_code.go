package main

import (
	"errors"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Exit codes, as documented at the head of main.go.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitRefused        = 3
	exitOutcomeUnknown = 4
	exitUnreachable    = 5
)

// usageError is a mistake in the arguments or in a file that they name.
type usageError struct{ error }

// Unwrap returns the cause.
func (u usageError) Unwrap() error { return u.error }

func exitCode(err error) int {
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	}
	switch errkind.Of(err) {
	case errkind.BadRequest:
		return exitUsage
	case errkind.ConnectFailed, errkind.NotLeader:
		return exitUnreachable
	case errkind.OutcomeUnknown, errkind.ServerLost:
		return exitOutcomeUnknown
	case errkind.Internal:
		return exitFailed
	default:
		return exitRefused
	}
}
