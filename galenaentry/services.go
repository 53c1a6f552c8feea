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
	// Waiting counts the requests that wait for a slot at this entry.
	Waiting int `json:"waiting"`
}

// serveServices shows the configured services as this entry sees them.
func (d *Daemon) serveServices(c *fasthttp.RequestCtx) {
	list := []serviceStatus{}
	for name := range d.follower.Config().Services {
		s := serviceStatus{Service: name}
		s.Slots, _ = d.broker.Known(name)
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
