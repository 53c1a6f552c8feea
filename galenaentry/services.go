package galenaentry

import (
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/galenahead/galenahead"
)

// serviceStatus is one element of the page /services.
type serviceStatus struct {
	Service galenahead.ServiceName `json:"service"`
	// Slots counts the slots of all instances, by the broker's last renewal.
	Slots int `json:"slots"`
	// Settled is not set while the broker keeps slots back for requests of
	// processes that it does not know yet, as after a start.
	Settled bool `json:"settled"`
	// Broker is set when this entry brokers the service.
	Broker bool `json:"broker"`
	// Waiting counts the requests that wait for a slot at this entry.
	Waiting int `json:"waiting"`
}

// serveServices shows the configured services as this entry sees them.
func (d *Daemon) serveServices(c *fasthttp.RequestCtx) {
	brokered := make(map[galenahead.ServiceName]bool)
	for _, o := range d.broker.Outstanding() {
		brokered[o.Service] = true
	}
	list := []serviceStatus{}
	for name := range d.follower.Config().Services {
		s := serviceStatus{Service: name, Broker: brokered[name]}
		s.Slots, _ = d.broker.Known(name)
		s.Settled = d.broker.Settled(name)
		if l, ok := d.server.lanes.get(name); ok {
			s.Waiting = l.queue.Len()
		}
		list = append(list, s)
	}
	body, err := json.Marshal(list)
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
