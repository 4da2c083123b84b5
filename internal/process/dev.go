package process

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/arbutusring/arbutusring/internal/controlrpc"
	"github.com/arbutusring/arbutusring/internal/operator"
	"github.com/arbutusring/arbutusring/internal/standin"
	"github.com/arbutusring/arbutusring/pkg/errkind"
	"github.com/arbutusring/arbutusring/pkg/settings"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"
)

// DevOptions configures a development installation.
type DevOptions struct {
	Callers   [2]string // caller addresses of the two entry hosts
	Operators string    // operator address of the first entry host; if empty, the system chooses the port
	Logger    zerolog.Logger
}

// DevGroup is the database group of a development installation.
const DevGroup = "dev"

// devPolicy is the configuration of a development installation.
const devPolicy = `
[[database_group]]
name = "dev"
members = 3
labels = { tier = "dev" }

[[traffic_rank]]
name = "urgent"
order = 0
floor = 0.2

[[traffic_rank]]
name = "normal"
order = 1
floor = 0.1
default = true

[[traffic_rank]]
name = "bulk"
order = 2
floor = 0.05
`

// Dev is a whole installation in one process on loopback: one control host, two
// entry hosts and a group of three stand-in database servers. Its data folder
// is temporary.
type Dev struct {
	folder   string
	control  *Control
	entries  []*Entry
	standins []*standin.Server
}

// StartDev starts the installation and returns when the group has a primary.
func StartDev(ctx context.Context, opts DevOptions) (*Dev, error) {
	folder, err := os.MkdirTemp("", "arbutusring-dev-")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d := &Dev{folder: folder}
	if err := d.start(ctx, opts); err != nil {
		d.Abort()
		return nil, err
	}
	return d, nil
}

func (d *Dev) start(ctx context.Context, opts DevOptions) error {
	if err := d.startControl(opts); err != nil {
		return err
	}
	for i, callers := range opts.Callers {
		if err := d.startEntry(i, callers, opts); err != nil {
			return err
		}
	}
	for i := range 3 {
		if err := d.startStandin(i); err != nil {
			return err
		}
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *Dev) startControl(opts DevOptions) error {
	cfg := settings.Settings{
		Host:   settings.Host{ID: "control-1", DataCentre: "loopback", Region: "loopback"},
		Listen: settings.Listen{Peers: "127.0.0.1:0", Operators: "127.0.0.1:0"},
		Control: settings.Control{
			DataFolder: filepath.Join(d.folder, "control"),
			Bootstrap:  true,
			Members:    map[string]string{"control-1": "127.0.0.1:0"},
		},
	}
	if err := os.Mkdir(cfg.Control.DataFolder, 0o700); err != nil {
		return Error.Wrap(err)
	}
	var err error
	d.control, err = StartControl(ControlOptions{Settings: cfg, Logger: opts.Logger})
	return err
}

func (d *Dev) startEntry(i int, callers string, opts DevOptions) error {
	operators := "127.0.0.1:0"
	if i == 0 && opts.Operators != "" {
		operators = opts.Operators
	}
	cfg, err := settings.Parse("dev", fmt.Sprintf(`
host = { id = "entry-%d", data_centre = "loopback", region = "loopback" }
listen = { callers = %q, peers = "127.0.0.1:0", operators = %q }
control = { addresses = [%q] }
`, i+1, callers, operators, d.control.PeerAddress()), settings.RoleEntry)
	if err != nil {
		return err
	}
	e, err := StartEntry(EntryOptions{Settings: cfg, Logger: opts.Logger})
	if err != nil {
		return err
	}
	d.entries = append(d.entries, e)
	return nil
}

func (d *Dev) startStandin(i int) error {
	srv, err := standin.New(standin.Options{
		ID:         fmt.Sprintf("standin-%d", i+1),
		Group:      DevGroup,
		DataCentre: "loopback",
		AnnounceTo: []string{d.entries[0].OperatorAddress(), d.entries[1].OperatorAddress()},
	})
	if err != nil {
		return err
	}
	if err := srv.Start(); err != nil {
		return err
	}
	d.standins = append(d.standins, srv)
	return nil
}

func (d *Dev) configure(ctx context.Context) error {
	c := operator.Client{Address: d.control.OperatorAddress()}
	reply, err := c.Apply(ctx, &controlrpc.ApplyArgs{ChangeID: "dev", Operator: "dev", Text: devPolicy})
	if err != nil {
		return err
	}
	if reply.Kind != errkind.OK {
		return errkind.New(reply.Kind, "%s", reply.Detail)
	}
	return nil
}

// waitReady returns when the group has a primary and both entries serve it.
func (d *Dev) waitReady(ctx context.Context) error {
	for {
		first := d.entries[0].controlSession.state.Load()
		second := d.entries[1].controlSession.state.Load()
		if groupSteady(first) && groupSteady(second) && len(first.Leases) == 3 {
			return nil
		}
		select {
		case <-ctx.Done():
			return Error.New("the group %q got no primary: %v", DevGroup, ctx.Err())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// groupSteady reports whether no change of the group's primary is in progress.
func groupSteady(state *controlrpc.State) bool {
	return state.Groups[DevGroup].Phase == controlrpc.PhaseSteady
}

// CallerAddresses returns the addresses that callers connect to.
func (d *Dev) CallerAddresses() []string {
	return []string{d.entries[0].CallerAddress(), d.entries[1].CallerAddress()}
}

// OperatorAddresses returns the operator addresses of the entry hosts.
func (d *Dev) OperatorAddresses() []string {
	return []string{d.entries[0].OperatorAddress(), d.entries[1].OperatorAddress()}
}

// Stop stops all processes as planned and removes the data folder.
func (d *Dev) Stop(ctx context.Context) error {
	var group errs.Group
	for _, e := range d.entries {
		group.Add(e.Stop(ctx))
	}
	for _, s := range d.standins {
		group.Add(s.Stop(ctx))
	}
	group.Add(d.control.Stop(ctx))
	group.Add(os.RemoveAll(d.folder))
	return Error.Wrap(group.Err())
}

// Abort stops all processes at once and removes the data folder.
func (d *Dev) Abort() {
	for _, e := range d.entries {
		e.Abort()
	}
	for _, s := range d.standins {
		s.Abort()
	}
	if d.control != nil {
		d.control.Abort()
	}
	_ = os.RemoveAll(d.folder)
}
