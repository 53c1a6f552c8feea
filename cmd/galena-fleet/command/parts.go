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
	"github.com/galenahead/galenahead/galenasettings"
	"github.com/galenahead/galenahead/galenatimer"
)

// daemon is what both roles share.
type daemon struct {
	path      string
	settings  galenasettings.Fleet
	load      loader
	log       *galenadaemon.Log
	timers    *galenatimer.Steady
	directory *galenafleet.Directory
	gateway   *galenafleet.Gateway
}

// settingsInterval is how often the settings file is read again, since it may
// change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings takes over new seeds when the settings change.
func (d *daemon) watchSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticks := d.timers.Subscribe(ctx, "settings", settingsInterval)
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

func (d *daemon) reload(signalled bool) {
	f, err := d.load(d.path)
	if err != nil {
		d.log.WithError(err).Error("settings not taken over")
		return
	}
	if slices.Equal(f.Control.Seeds, d.settings.Control.Seeds) {
		if signalled {
			d.log.Info("settings read again; nothing has changed")
		}
		return
	}
	d.settings.Control.Seeds = f.Control.Seeds
	d.directory.SetSeeds(f.Control.SeedPeers())
	d.log.WithField("seeds", f.Control.SeedPeers()).Info("settings taken over")
}

// serveHTTP serves until ctx ends, and finishes what has begun.
func serveHTTP(ctx context.Context, group *errgroup.Group, srv *fasthttp.Server, addr netip.AddrPort) error {
	ln, err := galenadaemon.Listen(addr)
	if err != nil {
		return err
	}
	group.Go(func() error { return galenadaemon.ServeHTTP(ctx, srv, ln) })
	return nil
}
