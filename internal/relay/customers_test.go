package relay_test

import (
	"fmt"
	"testing"

	"github.com/arbutusring/arbutusring/internal/statement"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/matryer/is"
)

// TestCustomers guards against a connection that serves two customers, and against
// connections of one customer at every host: each statement would need a new one.
func TestCustomers(t *testing.T) {
	is := is.New(t)
	in := install(t, 6, 20) // all six are connectors, with three connections each
	cfg := *in.cfg
	cfg.Version, in.state.ConfigVersion, in.state.Version = 2, 2, 2
	in.cfg = &cfg
	in.cfg.Customers = make(map[string]database.Customer)
	for i := range 8 {
		name := fmt.Sprint("c", i)
		in.cfg.Customers[name] = database.Customer{Name: name, Keys: []database.KeyDigest{database.DigestOf("key" + name)}}
	}
	for _, h := range in.hosts {
		in.apply(h)
		is.Equal(h.g.Dump().Members[0].Role, "connector")
	}
	for _, h := range in.hosts {
		for i := range 8 {
			s, err := h.g.Open(t.Context(), "db", fmt.Sprint("keyc", i))
			is.NoErr(err)
			c := &caller{Session: s}
			is.Equal(kindOf(c.do(statement.Write, fmt.Sprintf("w%d-%s.", i, h.id))), errkind.OK)
			is.Equal(in.backend.count(fmt.Sprintf("/c%d write w%d-%s.", i, i, h.id)), 1)
		}
	}
	for name := range in.cfg.Customers {
		hosts := 0
		for _, h := range in.hosts {
			hosts += min(1, in.backend.count(h.id+"/"+name+" write"))
		}
		is.Equal(hosts, 1)
	}
	opened := 0
	for _, n := range in.backend.customer {
		opened += n
	}
	is.True(opened <= 16) // 48 statements; a connector with more customers than connections exchanges some
}
