package entry

import (
	"context"
	"strings"
	"time"

	"github.com/arbutusring/arbutusring/internal/caller"
	"github.com/arbutusring/arbutusring/internal/ownerrpc"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// cancelTime bounds a cancellation.
const cancelTime = time.Second

// Handler returns the functions for caller.Options.
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

// open starts a session.
func (e *Entry) open(_ context.Context, st caller.Startup) (caller.Opened, error) {
	if e.draining.Load() {
		return caller.Opened{}, errkind.New(errkind.Draining, "the proxy is shutting down")
	}
	if e.confirmed.Load() == 0 {
		return caller.Opened{}, errkind.New(errkind.ConfigStale, "the proxy has no configuration yet")
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
		number: e.numbers.Add(1),
		seq:    e.nextSeq(),
		attrs:  defaultAttributes(),
	}
	if err := s.startupParameters(st.Parameters); err != nil {
		return caller.Opened{}, err
	}
	s.group.enter()
	e.mu.Lock()
	e.sessions[s.number] = s
	e.mu.Unlock()
	return caller.Opened{Session: s, Parameters: s.parameters()}, nil
}

// parameters returns the ParameterStatus messages of the startup. Drivers rely
// on the encoding and on standard_conforming_strings.
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

// startupParameters applies the attributes. Other settings would have to be
// kept at the server connection, so only values that every connection has
// anyway are accepted.
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
			if err := s.set(attr, value, false); err != nil {
				return err
			}
			continue
		}
		if !acceptable(lower, value) {
			return errkind.New(errkind.Unsupported, "startup parameter %s=%q is not supported: server connections keep no session state", name, value)
		}
	}
	return nil
}

func acceptable(name, value string) bool {
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

// parseOptions reads the options parameter: "-c name=value" or
// "--name=value", separated by spaces, with backslash as escape.
func parseOptions(text string, into map[string]string) error {
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
		into[name] = value
	}
	return nil
}

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

// closeSession ends a session; its open transaction is rolled back.
func (e *Entry) closeSession(s *session) {
	s.abandon()
	s.group.leave()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sessions, s.number)
}

// cancelCycle asks the owners to cancel what the session waits for. A cycle
// that waits in the entry itself ends at once.
func (e *Entry) cancelCycle(_ context.Context, s *session) {
	attempts := s.waiting()
	for _, a := range attempts {
		e.runCancel(a)
	}
	if len(attempts) > 0 {
		return
	}
	s.mu.Lock()
	stop := s.stop
	s.mu.Unlock()
	if stop != nil {
		stop()
	}
}

// runCancel cancels one attempt, best effort.
func (e *Entry) runCancel(a attempt) {
	ctx, cancel := context.WithTimeout(e.ctx, cancelTime)
	defer cancel()
	_, _ = e.opts.Owners.Cancel(ctx, a.target.address, &ownerrpc.CancelArgs{ID: a.id, Server: a.target.server})
}
