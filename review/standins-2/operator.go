package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends configurations and reads them back.
type operator struct {
	in      *installation
	client  *http.Client
	version int // sent last
	acked   int // acknowledged last
}

// replace sends the next configuration until it is acknowledged, or d has passed.
func (o *operator) replace(d time.Duration) bool {
	o.version += 3
	body := fmt.Sprintf(configText, o.version)
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		controls := o.in.controls()
		address := controls[n%len(controls)]
		resp, err := o.client.Post("http://"+address+wire.ReplacePath, "application/json", strings.NewReader(body))
		if err != nil {
			o.in.rec.note("operator: version %d to %s: %v", o.version, address, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_ = resp.Body.Close()
		o.in.rec.note("operator: version %d to %s: %s", o.version, address, resp.Status)
		if resp.StatusCode == http.StatusOK {
			o.acked = o.version
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// read asks each machine for the configuration, until one answers with it or d has
// passed. It returns 0 if none does.
func (o *operator) read(d time.Duration) int {
	for end, n := time.Now().Add(d), 0; time.Now().Before(end); n++ {
		controls := o.in.controls()
		if v := o.readAt(controls[n%len(controls)]); v != 0 {
			return v
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0
}

func (o *operator) readAt(address string) int {
	resp, err := o.client.Get("http://" + address + wire.ReadPath)
	if err != nil {
		o.in.rec.note("operator: read at %s: %v", address, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	var document struct{ Version int }
	if resp.StatusCode != http.StatusOK || json.Unmarshal(text, &document) != nil {
		o.in.rec.note("operator: read at %s: %s", address, resp.Status)
		return 0
	}
	o.in.rec.note("operator: read at %s: version %d", address, document.Version)
	return document.Version
}
