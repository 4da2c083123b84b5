package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"
)

// The case lost-disks: six machines have a disk, and two of them may be lost at
// once. The seeds are exchanged for the other machines. Then two machines lose their
// disk, one after the other, each with ample time to catch up. A configuration is
// acknowledged, and two machines lose their disks at once.

const (
	lostDisksCores = 6
	// downTime is how long a machine that has lost its disk is down.
	downTime = 2800 * time.Millisecond
	// catchUpTime is twice the bound catch_up_s (6 s) of a site with six such
	// machines.
	catchUpTime = 12 * time.Second
	// recoveryTime is the bound recovery_s of such a site.
	recoveryTime = 15 * time.Second
	// readBackTime is the bound contact_ms of such a site, for which the operator
	// reads the configuration back.
	readBackTime = 6 * time.Second
	// formTime is enough for the core to include all six machines.
	formTime = 10 * time.Second
	// reloadTime is enough for processes to notice changed settings.
	reloadTime = 5 * time.Second
)

func runLostDisks(in *installation, trouble bool) (bool, error) {
	time.Sleep(formTime)
	leader, err := in.leader()
	if err != nil {
		return false, err
	}
	in.rec.say("machine %s leads the core", leader)
	var first, later []string // the machines of the first seeds but the leader, and of the later ones
	for i, m := range in.machines[:lostDisksCores] {
		switch {
		case m.name == leader:
		case i < seedCount:
			first = append(first, m.name)
		default:
			later = append(later, m.name)
		}
	}
	if len(first) != seedCount-1 {
		return false, errors.New("the leader is not one of the first seeds")
	}
	if trouble {
		if err := in.exchangeSeeds(); err != nil {
			return false, err
		}
		time.Sleep(reloadTime)
		for _, name := range first {
			if err := in.loseDisks(name); err != nil {
				return false, err
			}
			time.Sleep(catchUpTime)
		}
	}
	if err := in.putConfig(&addedRoute{priority: 2, timeoutMS: 1000}, time.Now().Add(startTimeout)); err != nil {
		return false, err
	}
	if trouble {
		if err := in.loseDisks(later[:2]...); err != nil {
			return false, err
		}
		time.Sleep(recoveryTime)
	}
	served := in.countServed(5 * time.Second)
	in.rec.say("%v after the machines are back: %v", recoveryTime, served)
	version := in.readBack()
	in.rec.say("the configuration that was acknowledged last is %d; read back within %v: %d (0 for none)", in.version, readBackTime, version)
	return version != in.version, nil
}

// leader returns the machine that leads the core.
func (in *installation) leader() (string, error) {
	for _, m := range in.machines {
		if !m.core {
			continue
		}
		reply, err := http.Get("http://" + address(m.ip, in.ports.control) + "/v1/dump")
		if err != nil {
			return "", err
		}
		var dump struct {
			Log struct {
				Role string `json:"role"`
			} `json:"log"`
		}
		err = json.NewDecoder(reply.Body).Decode(&dump)
		_ = reply.Body.Close()
		if err != nil {
			return "", err
		}
		if dump.Log.Role == "leader" {
			return m.name, nil
		}
	}
	return "", errors.New("no machine leads the core")
}

// exchangeSeeds writes settings that name the other machines of the core as seeds.
func (in *installation) exchangeSeeds() error {
	seeds := in.controls()[seedCount:]
	in.rec.say("the settings of all processes name other seeds: %v", seeds)
	for _, m := range in.machines {
		m.seeds = seeds
		if _, err := in.writeSettings(m, "gateway", false); err != nil {
			return err
		}
		if !m.core {
			continue
		}
		if _, err := in.writeSettings(m, "directory", false); err != nil {
			return err
		}
	}
	return nil
}

// loseDisks kills the processes of machines, removes what is on their disks and
// starts them again.
func (in *installation) loseDisks(names ...string) error {
	in.rec.say("%v lose their disks and are down for %v", names, downTime)
	var lost []*machine
	for _, m := range in.machines {
		if slices.Contains(names, m.name) {
			lost = append(lost, m)
			m.gateway.signal(syscall.SIGKILL)
			m.directory.signal(syscall.SIGKILL)
		}
	}
	for _, m := range lost {
		<-m.gateway.done
		<-m.directory.done
		if err := os.RemoveAll(filepath.Join(in.folder(m, "directory"), "data")); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	for _, m := range lost {
		var err error
		if m.directory, err = in.startProcess(m, "directory", false); err != nil {
			return err
		}
		if m.gateway, err = in.startProcess(m, "gateway", false); err != nil {
			return err
		}
	}
	return nil
}

// readBack asks every machine of the core for the configuration, again and again,
// and returns the highest version that one has answered with; 0 for none.
func (in *installation) readBack() int {
	highest := 0
	for end := time.Now().Add(readBackTime); time.Now().Before(end); {
		for _, control := range in.controls() {
			version, err := in.readConfig(control)
			in.rec.add("reading the configuration from %s: version %d, %v", control, version, err)
			highest = max(highest, version)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return highest
}

func (in *installation) readConfig(control string) (version int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+control+in.wire.Paths["get_config"], nil)
	if err != nil {
		return 0, err
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	if err != nil || reply.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %w", reply.StatusCode, errors.Join(err, errors.New(string(body))))
	}
	var document struct{ Version int }
	err = json.Unmarshal(body, &document)
	return document.Version, err
}
