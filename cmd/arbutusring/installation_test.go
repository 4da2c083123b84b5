package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/loopback"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/testlog"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/jackc/pgx/v5"
)

// binaries are the programs under test, built once.
type binaries struct{ arbutusring, standin string }

func build(t *testing.T) binaries {
	t.Helper()
	dir := t.TempDir()
	b := binaries{arbutusring: filepath.Join(dir, "arbutusring"), standin: filepath.Join(dir, "standin")}
	for out, pkg := range map[string]string{b.arbutusring: ".", b.standin: "../standin"} {
		if msg, err := exec.Command("go", "build", "-o", out, pkg).CombinedOutput(); err != nil {
			t.Fatalf("go build %s: %v\n%s", pkg, err, msg)
		}
	}
	return b
}

// installation is a whole installation of separate processes on loopback.
type installation struct {
	t         *testing.T
	bin       binaries
	dir       string
	procs     map[string]*exec.Cmd
	logs      map[string]*bytes.Buffer
	kept      *testlog.Folder
	controls  []string // peer addresses
	operators []string // operator addresses of the entries
	callers   []string // caller addresses of the entries
}

const policyText = `
[[database_group]]
name = "orders"
members = 3

[[traffic_rank]]
name = "urgent"
order = 0
floor = 0.2

[[traffic_rank]]
name = "normal"
order = 1
floor = 0.1
default = true
`

// newInstallation starts control and entry hosts and three stand-in backend
// servers, and puts policyText into force.
func newInstallation(t *testing.T, controls, entries int) *installation {
	in := &installation{
		t: t, bin: build(t), dir: t.TempDir(),
		procs: make(map[string]*exec.Cmd), logs: make(map[string]*bytes.Buffer), kept: testlog.New(t),
	}
	t.Cleanup(in.close)
	for range controls {
		in.controls = append(in.controls, loopback.FreeAddress(t))
	}
	for i := range controls {
		in.startControl(i)
	}
	for i := range entries {
		in.operators = append(in.operators, loopback.FreeAddress(t))
		in.callers = append(in.callers, loopback.FreeAddress(t))
		in.startEntry(i)
	}
	for i := range 3 {
		in.startStandin(i)
	}
	in.apply(policyText)
	return in
}

func (in *installation) startControl(i int) {
	var members []string
	for j, a := range in.controls {
		members = append(members, fmt.Sprintf("control-%d = %q", j, a))
	}
	folder := filepath.Join(in.dir, fmt.Sprintf("control-%d", i))
	if err := os.MkdirAll(folder, 0o700); err != nil {
		in.t.Fatal(err)
	}
	in.startProcess(fmt.Sprintf("control-%d", i), "control", fmt.Sprintf(`
host = { id = "control-%d", data_centre = "dc-%d", region = "r" }
listen = { peers = %q, operators = %q }
control = { addresses = ["%s"], data_folder = %q, bootstrap = true, members = { %s } }
`, i, i, in.controls[i], loopback.FreeAddress(in.t), strings.Join(in.controls, `", "`), folder, strings.Join(members, ", ")))
}

func (in *installation) startEntry(i int) {
	in.startProcess(fmt.Sprintf("entry-%d", i), "entry", fmt.Sprintf(`
host = { id = "entry-%d", data_centre = "dc-%d", region = "r" }
listen = { callers = %q, peers = %q, operators = %q }
control = { addresses = ["%s"] }
`, i, i, in.callers[i], loopback.FreeAddress(in.t), in.operators[i], strings.Join(in.controls, `", "`)))
}

func (in *installation) startProcess(name, role, text string) {
	file := filepath.Join(in.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		in.t.Fatal(err)
	}
	in.startCommand(name, in.bin.arbutusring, role, "--settings", file)
}

func (in *installation) startStandin(i int) {
	name := fmt.Sprintf("standin-%d", i)
	in.startCommand(name, in.bin.standin, "--id", name, "--group", "orders", "--data-centre", fmt.Sprintf("dc-%d", i),
		"--data-folder", filepath.Join(in.dir, name), "--announce", strings.Join(in.operators, ","))
}

func (in *installation) startCommand(name, path string, args ...string) {
	cmd := exec.Command(path, args...)
	log := new(bytes.Buffer)
	cmd.Stderr = io.MultiWriter(log, in.kept.Writer(name))
	if err := cmd.Start(); err != nil {
		in.t.Fatal(err)
	}
	in.procs[name], in.logs[name] = cmd, log
}

// kill ends a process with SIGKILL, as a crash would.
func (in *installation) kill(name string) {
	_ = in.procs[name].Process.Kill()
	_ = in.procs[name].Wait()
	delete(in.procs, name)
}

func (in *installation) close() {
	for name, cmd := range in.procs {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if in.t.Failed() {
			in.t.Logf("log of %s:\n%s", name, tail(in.logs[name].String(), 4000))
		}
	}
}

// tail returns the last n bytes of s.
func tail(s string, n int) string { return s[max(0, len(s)-n):] }

// apply puts a configuration into force. It repeats the same change, because the
// processes may still be starting.
func (in *installation) apply(text string) {
	in.waitUntil("configuration accepted", func(ctx context.Context) error {
		c := operator.Client{Address: in.operators[0]}
		reply, err := c.Apply(ctx, &controlrpc.ApplyArgs{ChangeID: "first", Operator: "test", Text: text})
		if err != nil {
			return err
		}
		if reply.Kind != errkind.OK {
			return errkind.New(reply.Kind, "%s", reply.Detail)
		}
		return nil
	})
}

// waitUntil repeats f until it succeeds, for at most 20 s.
func (in *installation) waitUntil(what string, f func(ctx context.Context) error) {
	in.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for {
		err := f(ctx)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			in.t.Fatalf("%s: %v", what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (in *installation) connect(ctx context.Context, entry int, params map[string]string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig("postgres://caller@" + in.callers[entry] + "/orders?sslmode=disable")
	if err != nil {
		return nil, err
	}
	for k, v := range params {
		cfg.RuntimeParams[k] = v
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// primary returns the process name of the primary of the group.
func (in *installation) primary() string {
	var id string
	in.waitUntil("group has a primary", func(ctx context.Context) error {
		reply, err := operator.Client{Address: in.operators[1]}.State(ctx)
		if err != nil {
			return err
		}
		id = reply.State.Groups["orders"].Primary
		if id == "" {
			return errkind.New(errkind.NoPrimary, "no primary is named")
		}
		return nil
	})
	return id
}
