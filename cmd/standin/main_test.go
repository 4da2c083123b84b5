package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// asProcessEnv is the environment variable that makes the test binary run as the
// program, so that a test can kill a real process.
const asProcessEnv = "STANDIN_TEST_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcessEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// startProcess starts the program and returns the address that it prints.
func startProcess(t *testing.T, args ...string) (*exec.Cmd, string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProcessEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return cmd, strings.TrimSpace(line)
}

// TestKilledProcessKeepsCommits guards against acknowledging a commit before
// it is durable: a process is killed while it commits, and restarted.
func TestKilledProcessKeepsCommits(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	cmd, address := startProcess(t, "--group", "orders", "--id", "m1", "--data-folder", folder)
	dsn := func() string { return "postgres://test@" + address + "/orders?sslmode=disable" }
	c, err := pgx.Connect(t.Context(), dsn())
	is.NoErr(err)
	for _, sql := range []string{"SELECT arbutusring_fence(1)", "SELECT arbutusring_promote(1)"} {
		_, err = c.Exec(t.Context(), sql)
		is.NoErr(err)
	}
	time.AfterFunc(200*time.Millisecond, func() { _ = cmd.Process.Kill() })
	n := 0
	for {
		if _, err = c.Exec(t.Context(), "INSERT INTO kv (k, v) VALUES ($1, '')", fmt.Sprint(n)); err != nil {
			break
		}
		n++
	}
	_ = cmd.Wait()
	is.True(n > 0)

	cmd, address = startProcess(t, "--group", "orders", "--data-folder", folder)
	c, err = pgx.Connect(t.Context(), dsn())
	is.NoErr(err)
	var count int
	is.NoErr(c.QueryRow(t.Context(), "SELECT count(*) FROM kv").Scan(&count))
	is.True(count == n || count == n+1) // the last commit may have been durable but not answered
	var id string
	is.NoErr(c.QueryRow(t.Context(), "SELECT server_id FROM arbutusring_status()").Scan(&id))
	is.Equal(id, "m1")
	t.Logf("%d commits before the kill", n)

	is.NoErr(c.Close(t.Context()))
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(cmd.Wait()) // exits with status 0
}

// TestParseFlags guards against flags that are ignored or stored in the wrong
// option.
func TestParseFlags(t *testing.T) {
	is := is.New(t)
	f, err := parseFlags([]string{
		"--group", "orders", "--label", "disk=fast", "--label", "rack=3", "--announce", "127.0.0.1:1,127.0.0.1:2", "--announce", "127.0.0.1:3",
		"--slots", "5", "--service-time", "3ms", "--replication-delay", "1s", "--apply-delay", "2s",
	})
	is.NoErr(err)
	o := f.options
	is.Equal(o.Labels, map[string]string{"disk": "fast", "rack": "3"})
	is.Equal(o.AnnounceTo, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
	is.Equal([]any{o.Group, o.Slots, o.ServiceTime, o.ReplicationDelay, o.ApplyDelay}, []any{"orders", 5, 3 * time.Millisecond, time.Second, 2 * time.Second})
	_, err = parseFlags([]string{"--id", "m1"})
	is.True(err != nil) // no group
	_, err = parseFlags([]string{"--group", "orders", "--label", "disk"})
	is.True(err != nil)
}
