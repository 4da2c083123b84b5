package control

import (
	"fmt"

	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// Result is the answer of the Machine to one command. Kind Conflict means that
// a precondition failed and nothing changed.
type Result struct {
	Kind      errkind.Kind `codec:"k"`
	Detail    string       `codec:"d"`
	Version   uint64       `codec:"v"` // configuration version, for Configure
	WonBy     string       `codec:"w"` // operator of the accepted change, on a conflict
	WonChange string       `codec:"x"` // change id of the accepted change, on a conflict
}

// Err returns the result as an error, nil for errkind.OK.
func (r Result) Err() error {
	if r.Kind == errkind.OK {
		return nil
	}
	return errkind.New(r.Kind, "%s", r.Detail)
}

func conflict(format string, args ...any) Result {
	return Result{Kind: errkind.Conflict, Detail: fmt.Sprintf(format, args...)}
}

func refused(format string, args ...any) Result {
	return Result{Kind: errkind.BadRequest, Detail: fmt.Sprintf(format, args...)}
}
