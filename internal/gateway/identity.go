package gateway

import (
	"context"
	"time"

	"github.com/arbutusring/arbutusring/internal/clock"
	"github.com/arbutusring/arbutusring/pkg/database"
	"github.com/arbutusring/arbutusring/pkg/errkind"
)

// newKeyWait is how long ago control must have answered for an unknown key to be
// refused at once. Otherwise the key may have been added since, and Open waits at most
// that long for a newer state. Control answers about twice a second.
const newKeyWait = time.Second

// identity is the customer of a session and the key that proves it. The zero value is
// that of a session without a customer.
type identity struct {
	customer string
	key      database.KeyDigest // set if customer is
}

// authorize reports whether a session with this identity may use a database. A database
// that the view does not declare is refused elsewhere.
func (v *view) authorize(id identity, name string) bool {
	if id.customer != "" {
		return v.keyOwners[id.key] == id.customer
	}
	if len(v.cfg.Customers) == 0 {
		return true
	}
	db, declared := v.cfg.Databases[name]
	return db.Public || !declared
}

// authorize returns nil if a statement with this identity may be sent now: its key is
// in the newest configuration, and this host has a lease, without which that
// configuration may have been replaced. The caller must call it again immediately
// before it sends the statement.
func (g *Gateway) authorize(id identity, name string) error {
	// A lease arrives together with a state, which is stored first. The view that is
	// read after the end of the lease is therefore at least as new as that state. The
	// clock is read last, because the host may be suspended between two lines.
	end := g.leaseEnd.Load()
	v := g.view.Load()
	authorized := v.authorize(id, name)
	switch {
	case authorized && id.customer == "":
		return nil
	case g.leftUntil(end) <= 0:
		// The key may have been withdrawn since, or added again.
		return errkind.New(errkind.ConfigStale, "the lease of this host has run out, so it does not know whether the key is valid")
	case !authorized:
		return errkind.New(errkind.Denied, "the key was withdrawn, or the database needs one")
	}
	return nil
}

// heardWithin reports whether control has answered this host within d, and the lease
// that came with the answer is valid.
func (g *Gateway) heardWithin(d time.Duration) bool {
	return g.hasLease() && clock.Now().Sub(g.created)-time.Duration(g.heard.Load()) <= d
}

// identify returns the identity of a new session. An unknown key is refused at once if
// control has answered recently; otherwise identify waits for a newer state.
func (g *Gateway) identify(ctx context.Context, name, key string) (identity, error) {
	digest := database.DigestOf(key)
	for waitEnd := clock.Now().Add(newKeyWait); ; {
		v := g.view.Load()
		if v.authorize(identity{}, name) {
			return identity{}, nil
		}
		customer, known := v.keyOwners[digest]
		id := identity{customer: customer, key: digest}
		switch {
		case known && g.authorize(id, name) == nil:
			return id, nil
		case known:
			if !g.awaitLease(ctx) {
				return identity{}, errkind.New(errkind.ConfigStale, "the configuration of this host may be out of date")
			}
		case g.heardWithin(newKeyWait) && g.view.Load() == v:
			return identity{}, g.refuseKey(name, v)
		case !clock.Now().Before(waitEnd) || ctx.Err() != nil:
			if g.hasLease() {
				return identity{}, g.refuseKey(name, v)
			}
			return identity{}, errkind.New(errkind.ConfigStale, "the key is not known, but the configuration of this host may be out of date")
		default:
			waitForView(ctx, v, min(retryPause, waitEnd.Sub(clock.Now())))
		}
	}
}

// refuseKey logs and returns the refusal of an unknown key.
func (g *Gateway) refuseKey(name string, v *view) error {
	g.opts.Events.Event("key_refused").Str("database", name).Uint64("config_version", v.cfg.Version).Uint64("state_version", v.state.Version).
		Dur("lease_left_ms", g.leaseLeft()).Msg("refused a caller with an unknown key")
	g.metrics.keysRefused.Inc(1)
	return errkind.New(errkind.Denied, "the key is not known")
}

// waitForView waits until v is replaced, d has passed or ctx ends.
func waitForView(ctx context.Context, v *view, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
