package galenaentry

import (
	"context"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenaroute"
	"github.com/galenahead/galenahead/galenarpc"
)

const (
	methodSuspects = "entry.suspects"
	// suspectPeriod is the time between two broadcasts of suspects. Until an entry
	// learns of an instance that fails all requests, it loses those that it sends
	// there.
	suspectPeriod = 300 * time.Millisecond
)

// suspectList is one entry's complete list of ejected instances.
type suspectList struct {
	From     galenahead.EntryName  `json:"from"`
	Suspects []galenaroute.Suspect `json:"suspects,omitempty"`
}

// suspectPublisher sends the list of instances that this entry has ejected to
// the other entries, and passes their lists to the router.
type suspectPublisher struct {
	self   galenahead.EntryName
	peers  []string
	client *galenarpc.Client
	router *galenaroute.Router
	timers galenahead.Timers
	// lastCount is the number of suspects in the last broadcast.
	lastCount int
}

// Register adds the method with which other entries send their suspects.
func (p *suspectPublisher) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodSuspects, func(_ context.Context, l suspectList) (bool, error) {
		p.router.ApplySuspects(p.timers.Now(), l.From, l.Suspects)
		return true, nil
	})
}

// Run sends the list periodically while it has suspects, and once more when it
// has become empty, until ctx ends.
func (p *suspectPublisher) Run(ctx context.Context) error {
	ticks := p.timers.Subscribe(ctx, "entry.suspects", suspectPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			p.broadcast(ctx)
		}
	}
}

func (p *suspectPublisher) broadcast(ctx context.Context) {
	list := suspectList{From: p.self, Suspects: p.router.Suspects()}
	if p.lastCount == 0 && len(list.Suspects) == 0 {
		return
	}
	p.lastCount = len(list.Suspects)
	for _, addr := range p.peers {
		call := &suspectCall{publisher: p, addr: addr, list: list}
		go call.run(ctx)
	}
}

// suspectCall sends one list to one entry.
type suspectCall struct {
	publisher *suspectPublisher
	addr      string
	list      suspectList
}

// run sends the list. A failure needs no retry, because each list is complete
// and the next one follows.
func (c *suspectCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectPeriod)
	defer cancel()
	_ = c.publisher.client.Call(ctx, c.addr, methodSuspects, c.list, nil)
}
