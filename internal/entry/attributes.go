package entry

import (
	"strconv"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/logpos"
)

// maxRequestIDBytes limits the length of a request_id, because owners store it.
const maxRequestIDBytes = 200

// attributes are the values that a caller sets for its session. SET is not
// transactional: its effect remains if the transaction around it is rolled back.
type attributes struct {
	rank         string        // empty: the default rank
	maxStaleness time.Duration // negative: as in the policy
	repeatable   repeatable
	requestID    string        // for the next cycle that executes a statement
	deadline     time.Duration // 0: as in the policy
}

func defaultAttributes() attributes { return attributes{maxStaleness: -1} }

// setAttribute sets one attribute, or restores its default if reset is true.
func (s *session) setAttribute(name, value string, reset bool) error {
	var err error
	switch name {
	case "rank":
		if reset {
			value = ""
		} else if _, ok := s.entry.config().Rank(value); !ok || value == "" {
			return errkind.New(errkind.BadRequest, "rank %q is not declared", value)
		}
		s.attrs.rank = value
	case "max_staleness":
		d := time.Duration(-1)
		if !reset {
			d, err = parseDuration(name, value)
		}
		if err == nil {
			s.attrs.maxStaleness = d
		}
	case "deadline":
		var d time.Duration
		if !reset {
			d, err = parseDuration(name, value)
		}
		if err == nil && d == 0 && !reset {
			err = errkind.New(errkind.BadRequest, "deadline is %q, must be positive", value)
		}
		if err == nil {
			s.attrs.deadline = d
		}
	case "repeatable":
		switch {
		case reset:
			s.attrs.repeatable = repeatableDefault
		case value == "on" || value == "true":
			s.attrs.repeatable = repeatableOn
		case value == "off" || value == "false":
			s.attrs.repeatable = repeatableOff
		default:
			err = errkind.New(errkind.BadRequest, "repeatable is %q, must be on or off", value)
		}
	case "request_id":
		if len(value) > maxRequestIDBytes || strings.ContainsRune(value, 0) {
			return errkind.New(errkind.BadRequest, "request_id is longer than %d bytes or contains a zero byte", maxRequestIDBytes)
		}
		s.attrs.requestID = value
	case "session_token":
		return s.setToken(value, reset)
	default:
		err = errkind.New(errkind.BadRequest, "there is no attribute %s.%s", attributePrefix, name)
	}
	return err
}

// setToken merges a session token into that of the session, which keeps the
// later of the two positions: a read at or after both is always correct. A reset
// changes nothing, because the session must still see its own writes.
func (s *session) setToken(value string, reset bool) error {
	if reset || value == "" {
		return nil
	}
	tok, err := logpos.ParseToken(value)
	if err != nil {
		return err
	}
	if tok.Group != s.group.name {
		return errkind.New(errkind.BadRequest, "session token is for group %q, the session uses %q", tok.Group, s.group.name)
	}
	s.token = s.token.Max(tok.Position)
	s.minPositionResolved = true
	return nil
}

// showAttribute returns the value of an attribute as SHOW prints it.
func (s *session) showAttribute(name string) (string, error) {
	eff := s.effective()
	switch name {
	case "rank":
		return eff.Rank.Name, nil
	case "max_staleness":
		return s.maxStaleness(eff).String(), nil
	case "deadline":
		return s.deadline(eff).String(), nil
	case "repeatable":
		return [...]string{"default", "on", "off"}[s.attrs.repeatable], nil
	case "request_id":
		return s.attrs.requestID, nil
	case "session_token":
		return s.tokenText(), nil
	}
	return "", errkind.New(errkind.BadRequest, "there is no attribute %s.%s", attributePrefix, name)
}

// parseDuration parses a Go duration such as "250ms". A number without a unit is
// in milliseconds, as in PostgreSQL's own settings.
func parseDuration(name, value string) (time.Duration, error) {
	d, err := time.ParseDuration(value)
	if ms, numErr := strconv.ParseInt(value, 10, 32); numErr == nil {
		d, err = time.Duration(ms)*time.Millisecond, nil
	}
	if err != nil || d < 0 {
		return 0, errkind.New(errkind.BadRequest, "%s is %q, must be a duration such as 250ms", name, value)
	}
	return d, nil
}
