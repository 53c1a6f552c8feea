// Package fleet starts the processes that galena-path measures on loopback
// addresses: control and entry daemons and stand-in upstreams.
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
	// Service is the name of the measured service.
	Service = "counter"
	// Cores is the number of processors that the entry and the upstream each use. For
	// the entry it equals max_procs in the settings of package deployment.
	Cores = 2
	// upstreamSlots is the number of slots that the upstream announces. It exceeds the
	// requests in flight, so that no request waits for a slot.
	upstreamSlots = 64
	// controlCount is the minimum number of control daemons. entryCount is the number of
	// entries that claims are replicated to.
	controlCount = 1
	entryCount   = 3
)

// Fleet is a running deployment with one service that runs on one upstream.
type Fleet struct {
	*deployment.Deployment
	// EntryAddress is the address at which the measured entry serves callers.
	// DirectAddress is the address of a second upstream, identical to the one behind the
	// entry. Direct requests to the first one would count as its requests in flight and
	// so take slots from the entry.
	EntryAddress, DirectAddress string
}

// Start builds the programs in dir, starts a deployment and waits until its entries
// are ready.
func Start(ctx context.Context, dir string) (*Fleet, error) {
	if err := deployment.Build(ctx, dir); err != nil {
		return nil, err
	}
	// Child processes inherit the variable. It does not affect this process, which has
	// already read it.
	if err := os.Setenv("GOMAXPROCS", strconv.Itoa(Cores)); err != nil {
		return nil, eris.Wrap(err, "limit the upstream's cores")
	}
	d, err := deployment.New(dir, dir, controlCount, entryCount)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Deployment: d, EntryAddress: d.Entries()[0].CallerAddress}
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
		fmt.Sprintf("service set counter --pool counter --slots %d --connections %d", upstreamSlots, entryCount*upstreamSlots),
	} {
		if err := f.runCtl(ctx, strings.Fields(c)); err != nil {
			return err
		}
	}
	if _, err := f.startUpstream(Service); err != nil {
		return err
	}
	// The entries reject announcements of this service, which is not configured, and so
	// send no requests to its upstream.
	addr, err := f.startUpstream("direct")
	if err != nil {
		return err
	}
	f.DirectAddress = addr
	return f.Eventually(ctx, f.checkReady)
}

func (f *Fleet) startUpstream(service string) (string, error) {
	_, addr, err := f.Deployment.StartUpstream(service, service+"-1-a", "counter-1", "r1", "sapporo",
		"--run-time", "0s", "--shape", "fixed", "--slots", strconv.Itoa(upstreamSlots), "--connections", strconv.Itoa(entryCount*upstreamSlots))
	return addr, err
}

func (f *Fleet) runCtl(ctx context.Context, args []string) error {
	return f.Eventually(ctx, func() error {
		_, err := f.RunCtl(ctx, args...)
		return err
	})
}

// checkReady returns an error unless every entry is ready and knows the upstream's
// slots. It checks all entries because all of them store claims of non-idempotent
// requests.
func (f *Fleet) checkReady() error {
	for _, e := range f.Entries() {
		if _, err := get("http://" + e.StatusAddress + "/ready"); err != nil {
			return err
		}
		body, err := get("http://" + e.StatusAddress + "/services")
		if err != nil {
			return err
		}
		var services []struct {
			Slots int `json:"slots"`
		}
		if err := json.Unmarshal(body, &services); err != nil {
			return eris.Wrap(err, "decode /services")
		}
		if len(services) != 1 || services[0].Slots != upstreamSlots {
			return eris.Errorf("services at %s: got %s", e.Name, body)
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
