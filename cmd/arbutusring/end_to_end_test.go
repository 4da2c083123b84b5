package main_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

const tokenParameter = "arbutusring.session_token"

// write inserts or updates a key in a session of its own and returns the
// session token.
func (in *installation) write(ctx context.Context, entry int, k, v string) (string, error) {
	conn, err := in.connect(ctx, entry, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	_, err = conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", k, v)
	return conn.PgConn().ParameterStatus(tokenParameter), err
}

// read reads a key in a session of its own, which starts with the token unless
// that is empty.
func (in *installation) read(ctx context.Context, entry int, token, k string) (string, error) {
	params := map[string]string{}
	if token != "" {
		params[tokenParameter] = token
	}
	conn, err := in.connect(ctx, entry, params)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close(ctx) }()
	var v string
	err = conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", k).Scan(&v)
	return v, err
}

// TestEndToEnd guards the path from caller to backend server with separate
// processes: what is written through one entry is read through another, with and
// without the session token, and every acknowledged write survives the kill of
// an entry host, of control hosts and of the primary, one after another.
func TestEndToEnd(t *testing.T) {
	if testing.Short() {
		t.Skip("starts eight processes")
	}
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	acked := make(map[string]string)
	writeAndReadBack := func(name string, from, to int) {
		var token string
		in.waitUntil("write "+name, func(ctx context.Context) error {
			var err error
			token, err = in.write(ctx, from, name, "v-"+name)
			return err
		})
		acked[name] = "v-" + name
		is.True(token != "")
		for k, want := range acked {
			for _, tok := range []string{token, ""} {
				in.waitUntil(fmt.Sprintf("read %s after %s", k, name), func(ctx context.Context) error {
					got, err := in.read(ctx, to, tok, k)
					if err == nil && got != want {
						t.Fatalf("read %q of key %s with token %q, want %q", got, k, tok, want)
					}
					if err == pgx.ErrNoRows {
						t.Fatalf("key %s is missing with token %q", k, tok)
					}
					return err
				})
			}
		}
	}
	writeAndReadBack("start", 0, 1)
	in.kill("entry-0")
	writeAndReadBack("entry-killed", 1, 2)
	in.kill("control-0")
	writeAndReadBack("control-killed", 2, 1)
	primary := in.primary()
	began := time.Now()
	in.kill(primary)
	writeAndReadBack("primary-killed", 1, 2)
	t.Logf("first write after the kill of %s and its check took %s", primary, time.Since(began).Round(time.Millisecond))
	in.startControl(0)
	in.kill("control-1")
	writeAndReadBack("control-back", 2, 1)
}
