package entry

import (
	"context"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// cancelTimeout limits one Owner.Cancel call of a cancellation.
const cancelTimeout = time.Second

// Handler returns the handler for caller.Options.
func (e *Entry) Handler() caller.Handler {
	return caller.Handler{
		Open: e.open,
		Run: func(ctx context.Context, sess any, c caller.Cycle) caller.Answer {
			return sess.(*session).run(ctx, c)
		},
		Close:  func(sess any) { e.closeSession(sess.(*session)) },
		Cancel: func(ctx context.Context, sess any) { e.cancelCycle(ctx, sess.(*session)) },
	}
}

// open starts a session for a database group.
func (e *Entry) open(_ context.Context, st caller.Startup) (caller.Opened, error) {
	if e.draining.Load() {
		return caller.Opened{}, errkind.New(errkind.Draining, "the proxy is shutting down")
	}
	if e.lastConfirmed.Load() == 0 {
		return caller.Opened{}, errkind.New(errkind.ConfigStale, "the proxy has not received a configuration from control yet")
	}
	name := st.Parameters["database"]
	if name == "" {
		name = st.Parameters["user"] // PostgreSQL's default
	}
	if e.groupView(name) == nil {
		return caller.Opened{}, errkind.New(errkind.UnknownGroup, "database group %q is not declared", name)
	}
	s := &session{
		entry:  e,
		group:  e.group(name),
		number: e.lastSessionNumber.Add(1),
		seq:    e.nextSeq(),
		attrs:  defaultAttributes(),
	}
	if err := s.startupParameters(st.Parameters); err != nil {
		return caller.Opened{}, err
	}
	s.group.addSession()
	e.mu.Lock()
	e.sessions[s.number] = s
	e.mu.Unlock()
	return caller.Opened{Session: s, Parameters: s.parameters()}, nil
}

// parameters returns the parameters that the startup reports as ParameterStatus
// messages. Drivers rely on the encoding and on standard_conforming_strings.
func (s *session) parameters() []caller.Parameter {
	params := []caller.Parameter{
		{Name: "server_version", Value: "16.0"},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
	}
	if text := s.tokenText(); text != "" {
		params = append(params, caller.Parameter{Name: tokenParameter, Value: text})
	}
	return params
}

// startupParameters applies the attributes among the startup parameters. Other
// settings would have to be kept at the server connection, so they are accepted
// only with values that every server connection has anyway.
func (s *session) startupParameters(params map[string]string) error {
	settings := make(map[string]string, len(params))
	for name, value := range params {
		settings[name] = value
	}
	if err := parseOptions(params["options"], settings); err != nil {
		return err
	}
	for name, value := range settings {
		lower := strings.ToLower(name)
		if attr, ok := strings.CutPrefix(lower, attributePrefix+"."); ok {
			if err := s.setAttribute(attr, value, false); err != nil {
				return err
			}
			continue
		}
		if !startupParameterAllowed(lower, value) {
			return errkind.New(errkind.Unsupported, "startup parameter %s=%q is not supported: server connections keep no session state", name, value)
		}
	}
	return nil
}

// startupParameterAllowed reports whether a startup parameter other than an
// attribute is accepted with the given value.
func startupParameterAllowed(name, value string) bool {
	value = strings.ToLower(strings.ReplaceAll(value, " ", ""))
	switch name {
	case "user", "database", "options", "application_name", "fallback_application_name", "extra_float_digits":
		return true
	case "client_encoding":
		value = strings.Trim(value, "'\"")
		return value == "utf8" || value == "utf-8" || value == "unicode"
	case "datestyle":
		return strings.HasPrefix(value, "iso")
	case "timezone":
		return value == "utc" || value == "gmt" || value == "etc/utc"
	case "standard_conforming_strings", "integer_datetimes":
		return value == "on"
	}
	return strings.HasPrefix(name, "_pq_.")
}

// parseOptions parses the startup parameter options into settings: "-c
// name=value" or "--name=value", separated by white space, with backslash as the
// escape character.
func parseOptions(text string, settings map[string]string) error {
	words := splitOptions(text)
	for i := 0; i < len(words); i++ {
		setting := words[i]
		switch {
		case setting == "-c" && i+1 < len(words):
			i++
			setting = words[i]
		case strings.HasPrefix(setting, "-c"):
			setting = setting[2:]
		case strings.HasPrefix(setting, "--"):
			setting = setting[2:]
		default:
			return errkind.New(errkind.BadRequest, "options: %q is not of the form -c name=value", words[i])
		}
		name, value, ok := strings.Cut(setting, "=")
		if !ok || name == "" {
			return errkind.New(errkind.BadRequest, "options: %q is not of the form name=value", setting)
		}
		settings[name] = value
	}
	return nil
}

// splitOptions splits text at white space that is not escaped by a backslash.
func splitOptions(text string) []string {
	var words []string
	var word strings.Builder
	inWord := false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == ' ' || c == '\t' || c == '\n':
			if inWord {
				words = append(words, word.String())
				word.Reset()
			}
			inWord = false
		case c == '\\' && i+1 < len(text):
			i++
			word.WriteByte(text[i])
			inWord = true
		default:
			word.WriteByte(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// closeSession ends a session and rolls back its open transaction.
func (e *Entry) closeSession(s *session) {
	s.abandonTx()
	s.kept.Release(e.opts.Memory)
	s.group.removeSession()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.number)
}

// cancelCycle asks the owners to cancel the attempts that the session waits for.
// A cycle without such an attempt, which waits in the entry itself, ends at once.
func (e *Entry) cancelCycle(_ context.Context, s *session) {
	attempts := s.inflightAttempts()
	for _, a := range attempts {
		e.runCancel(a)
	}
	if len(attempts) > 0 {
		return
	}
	s.mu.Lock()
	stop := s.stopCycle
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// runCancel cancels one attempt on a best-effort basis.
func (e *Entry) runCancel(a attempt) {
	ctx, cancel := context.WithTimeout(e.ctx, cancelTimeout)
	defer cancel()
	_, _ = e.opts.Owners.Cancel(ctx, a.target.address, &ownerrpc.CancelArgs{ID: a.id, Server: a.target.server})
}
