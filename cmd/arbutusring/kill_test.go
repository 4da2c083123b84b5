package main_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// TestKilledEntryReleasesLocks guards against a transaction that survives its
// entry process: after kill -9 it has no effect, and its row lock is released
// within 5 s.
func TestKilledEntryReleasesLocks(t *testing.T) {
	if testing.Short() {
		t.Skip("starts nine processes")
	}
	is := is.New(t)
	in := newInstallation(t, 3, 3)
	in.waitUntil("first write", func(ctx context.Context) error {
		_, err := in.write(ctx, 1, "k", "before")
		return err
	})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := in.connect(ctx, 0, nil)
	is.NoErr(err)
	tx, err := conn.Begin(ctx)
	is.NoErr(err)
	_, err = tx.Exec(ctx, "UPDATE kv SET v = $1 WHERE k = $2", pgx.QueryExecModeSimpleProtocol, "lost", "k")
	is.NoErr(err)
	in.kill("entry-0")
	began := time.Now()
	for {
		var v string
		other, err := in.connect(ctx, 1, nil)
		if err == nil {
			err = other.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1 FOR UPDATE", "k").Scan(&v)
			_ = other.Close(ctx)
		}
		if err == nil {
			is.Equal(v, "before")
			break
		}
		is.True(!errors.Is(err, pgx.ErrNoRows))
		if time.Since(began) > 5*time.Second {
			t.Fatalf("the row lock is held %s after the kill: %v", time.Since(began), err)
		}
	}
	t.Logf("the row lock was released %s after the kill", time.Since(began))
}
