package galenaentry

import (
	"context"
	"encoding/json"
	"net/netip"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenadaemon"
)

const (
	// PathAnnounce is the path at which upstreams announce themselves.
	PathAnnounce = "/v1/announce"
	// maxLeaseMS bounds the lease of an announcement, because an instance that
	// fails without notice gets requests until its lease expires.
	maxLeaseMS = 3000
	// maxSlots bounds the announced slots and connections.
	maxSlots = 65536
)

// announcer forwards upstreams' announcements to the services' brokers.
type announcer struct {
	announce func(ctx context.Context, a galenahead.Announcement) error
	// intake bounds the announcements. It may be nil.
	intake *galenadaemon.Intake
}

// serve handles POST /v1/announce. It answers 204 once the service's broker has
// the announcement, 400 for an invalid one, and 503 when the upstream should
// retry at this or another entry.
func (n *announcer) serve(c *fasthttp.RequestCtx) {
	if string(c.Path()) != PathAnnounce || !c.IsPost() {
		c.Error("unknown call; announce with POST "+PathAnnounce+"\n", fasthttp.StatusNotFound)
		return
	}
	body, ok := n.intake.Read(c)
	if !ok {
		return
	}
	defer body.Close()
	var a galenahead.Announcement
	if err := json.Unmarshal(body.Data, &a); err != nil {
		c.Error("body is not a JSON announcement: "+err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	if err := checkAnnouncement(a); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusBadRequest)
		return
	}
	if err := n.announce(context.Background(), a); err != nil {
		c.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	c.SetStatusCode(fasthttp.StatusNoContent)
}

func checkAnnouncement(a galenahead.Announcement) error {
	ids := []struct{ name, value string }{
		{"instance", string(a.Instance)}, {"service", string(a.Service)}, {"data_centre", string(a.DataCentre)},
		{"rack", string(a.Rack)}, {"vm", string(a.VM)},
	}
	for _, id := range ids {
		if id.value == "" || len(id.value) > galenahead.MaxIDLength {
			return eris.Errorf("%s is %q; allowed are 1 to %d bytes", id.name, id.value, galenahead.MaxIDLength)
		}
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return eris.Errorf("address is %q; allowed is an IP address with a port", a.Address)
	}
	numbers := []struct {
		name            string
		value           int64
		lowest, highest int64
	}{
		{"slots", int64(a.Slots), 1, maxSlots},
		{"connections", int64(a.Connections), 1, maxSlots},
		{"lease_ms", a.LeaseMS, 1, maxLeaseMS},
		{"in_flight", int64(a.InFlight), 0, maxSlots},
	}
	for _, n := range numbers {
		if n.value < n.lowest || n.value > n.highest {
			return eris.Errorf("%s is %d; allowed are %d to %d", n.name, n.value, n.lowest, n.highest)
		}
	}
	return nil
}
