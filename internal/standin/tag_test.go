package standin_test

import (
	"context"
	"testing"
	"time"

	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"
)

// TestTagHoldsNoSlot guards against counting the query for a tag as a statement, which
// would halve what a server with few slots serves.
func TestTagHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	srv, err := standin.New(standin.Options{Slots: 1, ServiceTime: time.Hour})
	is.NoErr(err)
	is.NoErr(srv.Start())
	defer srv.Abort()
	c, err := pgx.Connect(t.Context(), "postgres://test@"+srv.Address()+"/orders?sslmode=disable")
	is.NoErr(err)
	defer c.Close(context.Background())
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var tag string
	is.NoErr(c.QueryRow(ctx, "SELECT '91c5f0a27e3b4d68' AS arbutusring_tag", pgx.QueryExecModeSimpleProtocol).Scan(&tag))
	is.Equal(tag, "91c5f0a27e3b4d68")
}
