package galenaentry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// serviceStatus is one element of the page /services.
type serviceStatus struct {
	Service galenahead.ServiceName `json:"service"`
	// Slots counts the slots of all instances as of the broker's last renewal.
	Slots int `json:"slots"`
	// Settled is false while the broker withholds slots for requests of processes
	// that have not reported to it, for example after its election.
	Settled bool `json:"settled"`
	// Broker is set when this entry is the broker of the service.
	Broker bool `json:"broker"`
	// Waiting counts the requests that wait for a slot at this entry.
	Waiting int `json:"waiting"`
}

// serveServices serves the list of configured services as this entry sees them.
func (d *Daemon) serveServices(c *fasthttp.RequestCtx) {
	brokered := make(map[galenahead.ServiceName]bool)
	for _, o := range d.broker.Outstanding() {
		brokered[o.Service] = true
	}
	statuses := []serviceStatus{}
	for name := range d.follower.Config().Services {
		status := serviceStatus{Service: name, Broker: brokered[name]}
		status.Slots, _ = d.broker.Capacity(name)
		status.Settled = d.broker.Settled(name)
		if dispatcher, ok := d.server.dispatchers.get(name); ok {
			status.Waiting = dispatcher.queue.Len()
		}
		statuses = append(statuses, status)
	}
	body, err := json.Marshal(statuses)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	d.intake.Answer(c, body)
}
