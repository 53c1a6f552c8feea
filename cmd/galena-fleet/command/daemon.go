package command

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead/galenadaemon"
	"github.com/galenahead/galenahead/galenafleet"
	"github.com/galenahead/galenahead/galenaintake"
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenatimer"
	"github.com/galenahead/galenahead/platform"
)

// baseDaemon holds what the daemons of both roles share.
type baseDaemon struct {
	path        string
	settings    galenasettings.Fleet
	load        loadFunc
	log         *galenadaemon.Log
	timers      *galenatimer.BootTimeService
	directory   *galenafleet.Directory
	ownerClient *galenafleet.OwnerClient
}

// reloadInterval is the interval of reading the settings file again, since it may
// change without a signal.
const reloadInterval = 5 * time.Second

// watchSettings applies new seeds when the settings file changes.
func (d *baseDaemon) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticks := d.timers.Subscribe(ctx, "settings", reloadInterval)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signalled = true
		case <-ticks:
		}
		d.reload(signalled)
	}
}

// reload reads the settings file and applies its seeds if they differ. After a
// SIGHUP, for which signalled is true, it also logs that they do not differ.
func (d *baseDaemon) reload(signalled bool) {
	f, err := d.load(d.path)
	if err != nil {
		d.log.WithError(err).Error("could not reload settings; keeping the previous ones")
		return
	}
	if slices.Equal(f.Control.Seeds, d.settings.Control.Seeds) {
		if signalled {
			d.log.Info("settings reloaded; the seeds have not changed")
		}
		return
	}
	d.settings.Control.Seeds = f.Control.Seeds
	d.directory.SetSeeds(f.Control.SeedPeers())
	d.log.WithField("seeds", f.Control.SeedPeers()).Info("settings reloaded; new seeds applied")
}

// machine returns what the process may use of its machine.
func (d *baseDaemon) machine() galenaintake.Machine {
	return machineOf(d.settings)
}

func machineOf(f galenasettings.Fleet) galenaintake.Machine {
	return galenaintake.ThisMachine(f.Process.MachineMemoryMB, f.Process.MaxOpenFiles)
}

// newIntake returns the bounds of the HTTP servers on what others send, with a limit of bodies.
func (d *baseDaemon) newIntake(maxBody func() int) *galenadaemon.Intake {
	i := &galenadaemon.Intake{Budget: d.machine().NewBudget(), MaxBody: maxBody, Refuse: platform.RefuseCaller, Logger: d.log.Logger}
	if d.ownerClient != nil {
		i.Metrics = d.ownerClient.Metrics
	}
	return i
}

// maxPlatformBody is the limit of bodies that the platform sends.
func maxPlatformBody() int { return platform.MaxBodyBytes }

// httpListen is where a server listens, and what bounds its connections.
type httpListen struct {
	addr         netip.AddrPort
	drainTimeout time.Duration
	intake       *galenadaemon.Intake
	maxConns     int
}

// serveHTTP serves in group until ctx ends, and then finishes the requests that
// have arrived, within the drain timeout.
func serveHTTP(ctx context.Context, group *errgroup.Group, srv *fasthttp.Server, l httpListen) error {
	ln, err := galenadaemon.Listen(l.addr)
	if err != nil {
		return err
	}
	s := &galenadaemon.HTTPServer{Server: srv, DrainTimeout: l.drainTimeout, Conns: galenaintake.Conns{Max: l.maxConns, Displaced: l.intake.CountDisplaced}}
	group.Go(func() error { return s.Serve(ctx, ln) })
	return nil
}
