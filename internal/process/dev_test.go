package process_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/process"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestDevServesReadYourWrites guards against entry, owner, control and backend
// parts that do not work together: with a session token, a write through one
// entry host must be visible through the other.
func TestDevServesReadYourWrites(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	d, err := process.StartDev(ctx, process.DevOptions{
		Callers: [2]string{"127.0.0.1:0", "127.0.0.1:0"},
		Logger:  zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel),
	})
	is.NoErr(err)
	addresses := d.CallerAddresses()
	first, err := pgx.Connect(ctx, "postgres://caller@"+addresses[0]+"/dev?sslmode=disable")
	is.NoErr(err)
	_, err = first.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", "order", "sandwich")
	is.NoErr(err)
	token := first.PgConn().ParameterStatus("arbutusring.session_token")
	is.True(token != "")

	cfg, err := pgx.ParseConfig("postgres://caller@" + addresses[1] + "/dev?sslmode=disable")
	is.NoErr(err)
	cfg.RuntimeParams["arbutusring.session_token"] = token
	second, err := pgx.ConnectConfig(ctx, cfg)
	is.NoErr(err)
	var v string
	is.NoErr(second.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", "order").Scan(&v))
	is.Equal(v, "sandwich")
	is.NoErr(first.Close(ctx))
	is.NoErr(second.Close(ctx))
	is.NoErr(d.Stop(ctx))
}
