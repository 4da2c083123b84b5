package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// announcer posts the announcement of a server to the entry hosts.
type announcer struct {
	srv       *Server
	nextEntry int // number of the entry host to try first, modulo the number of hosts
}

// loop announces the server once per AnnounceInterval until ctx ends.
func (a *announcer) loop(ctx context.Context) {
	tick := time.NewTicker(a.srv.opts.AnnounceInterval)
	defer tick.Stop()
	for {
		if !a.srv.isStopping() {
			a.announce(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// announce tries the entry hosts in turn until one accepts the announcement.
// While FaultFreeze is on, it does nothing.
func (a *announcer) announce(ctx context.Context) {
	if a.srv.faults.isOn(FaultFreeze) {
		return
	}
	body, err := json.Marshal(a.srv.Announcement())
	if err != nil {
		a.srv.opts.Log.Error().Err(err).Msg("cannot encode the announcement")
		return
	}
	entries := a.srv.opts.AnnounceTo
	for range entries {
		address := entries[a.nextEntry%len(entries)]
		if err = a.post(ctx, address, body); err == nil {
			return
		}
		a.srv.opts.Log.Warn().Err(err).Str("entry", address).Msg("announcement to the entry host failed; trying the next one")
		a.nextEntry++
	}
}

// post sends the announcement to one entry host. Its timeout is half the
// interval, which leaves time to try a second host within the interval.
func (a *announcer) post(ctx context.Context, address string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, a.srv.opts.AnnounceInterval/2)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return Error.New("entry host answered %s", resp.Status)
	}
	return nil
}
