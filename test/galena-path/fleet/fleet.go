// Package fleet starts the processes that galena-path measures: control and
// entry daemons and one stand-in upstream, all on loopback.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

const (
	// Service is the measured service.
	Service = "counter"
	// Cores is the number of processors of the entry, by max_procs of the
	// deployment's settings, and of the upstream.
	Cores = 2
	// slots is what the upstream announces. It exceeds the requests in flight, so
	// that the path is measured and not the wait for slots.
	slots = 64
	// controls is the smallest number of control daemons, entries that of claim
	// replicas.
	controls = 1
	entries  = 3
)

// Fleet is a running deployment with one service on one upstream.
type Fleet struct {
	*deployment.Deployment
	// Entry is the caller address of the measured entry, Direct the address of an
	// upstream like the one behind the entry. Direct requests to the latter would
	// count as its requests in flight and take slots from the entry.
	Entry, Direct string
}

// Start builds the programs below dir, starts a deployment and waits until its
// first entry serves.
func Start(ctx context.Context, dir string) (*Fleet, error) {
	if err := deployment.Build(ctx, dir); err != nil {
		return nil, err
	}
	// The processes inherit it; this process has read it already.
	if err := os.Setenv("GOMAXPROCS", strconv.Itoa(Cores)); err != nil {
		return nil, eris.Wrap(err, "limit the upstream's cores")
	}
	d, err := deployment.New(dir, dir, controls, entries)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: d, Entry: d.Entries()[0].Caller}
	if err := f.start(ctx); err != nil {
		_ = d.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.Deployment.Start(ctx); err != nil {
		return err
	}
	for _, c := range []string{
		"pool set counter",
		"vm add counter-1 --pool counter --data-centre sapporo --rack r1 --cores 64 --memory-mb 131072",
		fmt.Sprintf("service set counter --pool counter --slots %d --connections %d", slots, entries*slots),
	} {
		if err := f.ctl(ctx, strings.Fields(c)); err != nil {
			return err
		}
	}
	if _, err := f.upstream(Service); err != nil {
		return err
	}
	// The entries refuse the announcements of a service that is not configured.
	addr, err := f.upstream("direct")
	if err != nil {
		return err
	}
	f.Direct = addr
	return f.Eventually(ctx, f.ready)
}

func (f *Fleet) upstream(service string) (string, error) {
	_, addr, err := f.Deployment.Upstream(service, service+"-1-a", "counter-1", "r1", "sapporo",
		"--run-time", "0s", "--shape", "fixed", "--slots", strconv.Itoa(slots), "--connections", strconv.Itoa(entries*slots))
	return addr, err
}

func (f *Fleet) ctl(ctx context.Context, args []string) error {
	return f.Eventually(ctx, func() error {
		_, err := f.Ctl(ctx, args...)
		return err
	})
}

// ready tells whether every entry serves and knows the upstream's slots. The
// claim replicas of non-idempotent requests are on all of them.
func (f *Fleet) ready() error {
	for _, e := range f.Entries() {
		if _, err := get("http://" + e.Status + "/ready"); err != nil {
			return err
		}
		body, err := get("http://" + e.Status + "/services")
		if err != nil {
			return err
		}
		var services []struct {
			Slots int `json:"slots"`
		}
		if err := json.Unmarshal(body, &services); err != nil {
			return eris.Wrap(err, "decode /services")
		}
		if len(services) != 1 || services[0].Slots != slots {
			return eris.Errorf("%s sees %s", e.Name, body)
		}
	}
	return nil
}

func get(url string) ([]byte, error) {
	status, body, err := fasthttp.Get(nil, url)
	if err == nil && status != fasthttp.StatusOK {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return body, eris.Wrap(err, url)
}
