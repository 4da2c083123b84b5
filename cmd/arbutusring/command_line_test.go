package main_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	main "github.com/arbutusring/arbutusring/cmd/arbutusring"
	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/loopback"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// asCommandEnv is the environment variable that makes the test binary run as the
// command, so that tests see the real exit codes and output.
const asCommandEnv = "ARBUTUSRING_TEST_AS_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommandEnv) != "" {
		main.Main()
	}
	os.Exit(m.Run())
}

// syncBuffer is a buffer that may be read while a process writes to it.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *syncBuffer) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *syncBuffer) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.String()
}

// runCommand runs the command and returns its exit code and standard output.
func runCommand(t *testing.T, stderr *syncBuffer, args ...string) (code int, stdout string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	// The race detector otherwise sleeps for 1 s at the exit of a process.
	cmd.Env = append(os.Environ(), asCommandEnv+"=1", "USER=niamh", "GORACE=atexit_sleep_ms=0")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, stderr
	err := cmd.Run()
	if cmd.ProcessState == nil || !cmd.ProcessState.Exited() {
		t.Fatalf("%v: %v", args, err)
	}
	return cmd.ProcessState.ExitCode(), out.String()
}

// startFakeOperatorServer serves the operator interface and answers every change
// and every read of the state with kind k. It returns the address.
func startFakeOperatorServer(t *testing.T, k errkind.Kind) string {
	t.Helper()
	answer := controlrpc.Answer{Kind: k, Detail: "detail of control"}
	return startOperatorServer(t, operator.Handlers{
		Apply: func(_ context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
			return &controlrpc.ApplyReply{Answer: answer, Version: args.BaseVersion + 1, WonBy: "aoife", WonChange: "other"}, nil
		},
		Get: func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) {
			return &controlrpc.GetReply{
				Answer: answer,
				State: controlrpc.State{
					ConfigVersion: 7,
					Groups:        map[string]controlrpc.Group{"orders": {Phase: "steady", Term: 3, Primary: "s1", Members: []string{"s1"}}},
				},
				Heartbeats: map[string]controlrpc.HostReport{"entry-1": {Live: true, ConfigVersion: 8, Age: time.Millisecond}},
			}, nil
		},
		Drain: func(context.Context, *controlrpc.DrainArgs) (*controlrpc.DrainReply, error) {
			return &controlrpc.DrainReply{Answer: answer}, nil
		},
		Failover: func(context.Context, *controlrpc.FailoverArgs) (*controlrpc.FailoverReply, error) {
			return &controlrpc.FailoverReply{Answer: answer}, nil
		},
		Health: func(_ context.Context, kind, _ string) (any, error) {
			if kind != "" && kind != "host" {
				return nil, errkind.New(errkind.BadRequest, "kind %q is not known", kind)
			}
			return []map[string]any{{"kind": "host", "name": "entry-1", "status": "unknown", "cause": "no heartbeat"}}, nil
		},
		Dump: func() any { return map[string]int{"connections": 2} },
	})
}

// startOperatorServer serves h on a free port and returns the address.
func startOperatorServer(t *testing.T, h operator.Handlers) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := operator.NewServer(h, zerolog.Nop())
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Shutdown(context.Background()); <-done })
	return ln.Addr().String()
}

// TestExitCodes guards the exit codes that scripts rely on, and the error message
// for each kind of wrong argument.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	config, bad := filepath.Join(dir, "c.toml"), filepath.Join(dir, "bad.toml")
	for file, text := range map[string]string{config: policyText, bad: "[[policy]]\nnmae = \"p\"\n"} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ok, unreachable := startFakeOperatorServer(t, errkind.OK), loopback.FreeAddress(t)
	withAddress := func(address string, args ...string) []string { return append(args, "--address", address) }
	refused := startFakeOperatorServer(t, errkind.Conflict)
	for _, row := range []struct {
		name           string
		args           []string
		code           int
		stdout, stderr string // contained in the output
	}{
		{"get", withAddress(ok, "get"), 0, "group  orders  steady  term 3  primary s1", ""},
		{"get wait", withAddress(ok, "get", "-w"), 0, "configuration version 7", "version 7 is in force at every live entry host"},
		{"get json", withAddress(ok, "get", "--output", "json"), 0, `"config_version": 7`, ""},
		{"get json joined", withAddress(ok, "get", "-o=json"), 0, `"config_version": 7`, ""},
		{"health", withAddress(ok, "health"), 0, "unknown   host  entry-1", ""},
		{"health json", withAddress(ok, "health", "--output", "json"), 0, `"status": "unknown"`, ""},
		{"dump", withAddress(ok, "dump"), 0, `"connections": 2`, ""},
		{"drain", withAddress(ok, "drain", "entry-1", "--undo"), 0, "accepted", "change id "},
		{"drain json", withAddress(ok, "drain", "entry-1", "-o", "json"), 0, `"detail"`, ""},
		{"failover", withAddress(ok, "failover", "orders"), 0, "accepted", ""},
		{"apply", withAddress(ok, "apply", config, "-w"), 0, "version 8 accepted", "--base-version 7 --operator niamh"},
		{"apply json", withAddress(ok, "apply", config, "-o", "json"), 0, `"version": 8`, ""},
		{"resend", withAddress(ok, "apply", config, "--change-id", "a", "--base-version", "0"), 0, "version 1 accepted", "change id a\n"},
		{"validate", []string{"validate", config}, 0, config + ": configuration: valid", ""},

		{"internal error", withAddress(startFakeOperatorServer(t, errkind.Internal), "get"), 1, "", "internal: detail of control"},
		{"address in use", []string{"dev", "--operators", ok}, 1, "", "address already in use"},

		{"no command", nil, 2, "", "no command was given"},
		{"unknown command", []string{"start"}, 2, "", `"start" is not a command`},
		{"unknown flag", []string{"get", "--bogus"}, 2, "", "get: unknown flag --bogus"},
		{"flag of another command", []string{"dump", "--wait"}, 2, "", "dump: unknown flag --wait"},
		{"end of flags", []string{"get", "--"}, 2, "", "get: unknown flag --"},
		{"version flag", []string{"--version"}, 2, "", `"--version" is not a command`},
		{"completion", []string{"completion", "bash"}, 2, "", `"completion" is not a command`},
		{"missing value", []string{"get", "--address"}, 2, "", "get: --address needs a value"},
		{"bad duration", []string{"get", "--timeout", "soon"}, 2, "", "soon"},
		{"bad number", []string{"apply", config, "--base-version", "x"}, 2, "", `"x"`},
		{"missing positional", []string{"drain"}, 2, "", "drain: ID is missing"},
		{"surplus positional", []string{"drain", "a", "b"}, 2, "", `drain: unexpected argument "b"`},
		{"surplus for none", []string{"get", "orders"}, 2, "", `get: unexpected argument "orders"`},
		{"bad output", []string{"get", "-o", "xml"}, 2, "", `--output "xml" is neither text nor json`},
		{"bad log level", []string{"dev", "--log-level", "loud"}, 2, "", `log level "loud"`},
		{"bad rank", []string{"load", "--rank", "a"}, 2, "", `rank "a" is not of the form`},
		{"no settings", []string{"entry"}, 2, "", "--settings is missing"},
		{"settings absent", []string{"control", "-s", filepath.Join(dir, "none")}, 2, "", "no such file"},
		{"wrong settings", []string{"entry", "-s", bad}, 2, "", "bad.toml:1: policy: unknown key"},
		{"validate nothing", []string{"validate"}, 2, "", "validate needs at least one file"},
		{"validate unknown flag", []string{"validate", "-x", config}, 2, "", "validate: unknown flag -x"},
		{"validate bad file", []string{"validate", config, bad}, 2, config + ": configuration: valid", "bad.toml:2: policy[0].nmae: unknown key"},
		{"validate json", []string{"validate", "-o", "json", bad}, 2, `"error": "toml: `, "unknown key"},
		{"apply bad file", withAddress(ok, "apply", bad), 2, "", "bad.toml:2: policy[0].nmae: unknown key"},
		{"apply absent file", withAddress(ok, "apply", filepath.Join(dir, "none")), 2, "", "no such file"},
		{"resend without base", withAddress(ok, "apply", config, "--change-id", "a"), 2, "", "--change-id needs --base-version"},
		{"bad question", withAddress(ok, "health", "-k", "database"), 2, "", `kind "database" is not known`},

		{"conflict", withAddress(refused, "apply", config, "--base-version", "1"), 3, "", "conflict: version 2 by aoife (change other) was accepted first"},
		{"conflict json", withAddress(refused, "apply", config, "-o", "json", "--base-version", "1"), 3, `"won_by": "aoife"`, "conflict"},
		{"drain refused", withAddress(refused, "drain", "x"), 3, "", "detail of control"},

		{"unknown outcome", withAddress(startFakeOperatorServer(t, errkind.OutcomeUnknown), "drain", "x"), 4, "", "outcome_unknown"},

		{"unreachable", withAddress(unreachable, "get"), 5, "", "connection refused"},
		{"unreachable change", withAddress(unreachable, "drain", "x"), 5, "", "connection refused"},
		{"no leader", withAddress(startFakeOperatorServer(t, errkind.NotLeader), "apply", config), 5, "", "not_leader"},
	} {
		t.Run(row.name, func(t *testing.T) {
			stderr := new(syncBuffer)
			code, stdout := runCommand(t, stderr, row.args...)
			if code != row.code || !strings.Contains(stdout, row.stdout) || !strings.Contains(stderr.String(), row.stderr) {
				t.Errorf("exit code %d, want %d\nstdout %s\nwant   %s\nstderr %s\nwant   %s", code, row.code, stdout, row.stdout, stderr, row.stderr)
			}
			if code != 0 && !strings.Contains(stderr.String(), "arbutusring: ") {
				t.Errorf("the error was not reported by main: %s", stderr)
			}
		})
	}
}

// TestHelp guards against a command whose --help prints no help or ends with an
// exit code other than 0.
func TestHelp(t *testing.T) {
	for _, args := range [][]string{
		{"--help"}, {"-h"}, {"dev", "--help"}, {"entry", "--help"}, {"control", "--help"}, {"load", "--help"}, {"validate", "--help"},
		{"apply", "--help"}, {"get", "--help"}, {"health", "--help"}, {"drain", "-h"}, {"failover", "--help"}, {"dump", "--address", "x", "--help"},
	} {
		stderr := new(syncBuffer)
		code, stdout := runCommand(t, stderr, args...)
		if all := stdout + stderr.String(); code != 0 || !strings.Contains(all, "--help") || (args[0][0] != '-' && !strings.Contains(all, args[0])) {
			t.Errorf("%v: exit code %d, output %s", args, code, all)
		}
	}
}

// TestDeployedFilesAreValid guards against invalid example files in deploy/, and
// against validate detecting the wrong kind of file.
func TestDeployedFilesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../deploy/*/*.toml")
	is.NoErr(err)
	// deploy/days holds input files of the platform's bench, which validate does
	// not support.
	files = slices.DeleteFunc(files, func(f string) bool { return strings.Contains(f, "/days/") })
	is.True(len(files) >= 22)
	stderr := new(syncBuffer)
	code, stdout := runCommand(t, stderr, append([]string{"validate", "--output", "json"}, files...)...)
	is.Equal(stderr.String(), "")
	is.Equal(code, 0)
	var results []struct{ File, Kind, Error string }
	is.NoErr(json.Unmarshal([]byte(stdout), &results))
	is.Equal(len(results), len(files))
	for _, r := range results {
		role, _, _ := strings.Cut(strings.TrimSuffix(filepath.Base(r.File), ".toml"), "-")
		want := map[string]string{"configuration": "configuration", "entry": "settings of entry", "control": "settings of control"}[role]
		is.Equal(r.Kind, want)
	}
}

// TestValidatePlatformSettings guards against settings of a gateway or a directory
// that are checked by the rules of an entry or control process.
func TestValidatePlatformSettings(t *testing.T) {
	const common = "[control]\naddresses = [\"127.0.0.1:7440\"]\n"
	tests := []struct{ name, text, kind, problem string }{
		{"gateway", "[host]\nid = \"g\"\ndata_centre = \"d\"\nregion = \"r\"\nregions = { d = \"r\" }\n" +
			"[listen]\ncallers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n" + common, "settings of gateway", ""},
		{"directory", "[host]\nid = \"c\"\nname = \"c\"\ndata_centre = \"d\"\nregion = \"r\"\n" +
			"[listen]\npeers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n" + common +
			"data_folder = \"/data\"\nbootstrap = true\n[promotion]\naddress = \"127.0.0.1:3\"\n", "settings of directory", ""},
		{"directory without a name", "[host]\nid = \"c\"\ndata_centre = \"d\"\nregion = \"r\"\n" +
			"[listen]\npeers = \"127.0.0.1:1\"\noperators = \"127.0.0.1:2\"\n" + common +
			"data_folder = \"/data\"\n[promotion]\naddress = \"127.0.0.1:3\"\n", "settings of directory", "host.name"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "node.toml")
			is.NoErr(os.WriteFile(file, []byte(test.text), 0o600))
			code, stdout := runCommand(t, new(syncBuffer), "validate", "--output", "json", file)
			var results []struct{ Kind, Error string }
			is.NoErr(json.Unmarshal([]byte(stdout), &results))
			is.Equal(results[0].Kind, test.kind)
			is.Equal(code == 0, test.problem == "")
			is.True(strings.Contains(results[0].Error, test.problem))
		})
	}
}

// TestApplyPrintsChangeIDFirst guards against a change that can't be resent after
// a lost answer: the operator needs the change id even if no answer arrives.
func TestApplyPrintsChangeIDFirst(t *testing.T) {
	is := is.New(t)
	stderr := new(syncBuffer)
	printed := make(chan bool, 1)
	address := startOperatorServer(t, operator.Handlers{
		Get: func(context.Context, *controlrpc.GetArgs) (*controlrpc.GetReply, error) {
			return new(controlrpc.GetReply), nil
		},
		Apply: func(_ context.Context, args *controlrpc.ApplyArgs) (*controlrpc.ApplyReply, error) {
			found := false
			for deadline := time.Now().Add(5 * time.Second); !found && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
				found = strings.Contains(stderr.String(), "change id "+args.ChangeID+"\n")
			}
			printed <- found
			panic(http.ErrAbortHandler) // net/http closes the connection without an answer
		},
	})
	file := filepath.Join(t.TempDir(), "c.toml")
	is.NoErr(os.WriteFile(file, []byte(policyText), 0o600))
	code, _ := runCommand(t, stderr, "apply", file, "--address", address)
	is.True(<-printed)
	is.Equal(code, 4)
}
