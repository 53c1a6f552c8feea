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
	// suspectPeriod is the time between two lists of suspects. An instance that
	// fails everything costs each entry the requests it sends meanwhile.
	suspectPeriod = 300 * time.Millisecond
)

// suspectList is one entry's complete list of ejected instances.
type suspectList struct {
	From     galenahead.EntryName  `json:"from"`
	Suspects []galenaroute.Suspect `json:"suspects,omitempty"`
}

// suspectPublisher tells the other entries which instances this one has ejected.
type suspectPublisher struct {
	self   galenahead.EntryName
	peers  []string
	client *galenarpc.Client
	router *galenaroute.Router
	timers galenahead.Timers
	// lastCount is how many suspects the newest list had.
	lastCount int
}

// Register adds the method by which other entries tell their suspects.
func (s *suspectPublisher) Register(m *galenarpc.Mux) {
	galenarpc.Handle(m, methodSuspects, func(_ context.Context, l suspectList) (bool, error) {
		s.router.Adopt(s.timers.Now(), l.From, l.Suspects)
		return true, nil
	})
}

// Run sends the list while there is any suspect, and once when the last one is
// gone, until ctx ends.
func (s *suspectPublisher) Run(ctx context.Context) error {
	ticks := s.timers.Subscribe(ctx, "entry.suspects", suspectPeriod)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks:
			s.broadcast(ctx)
		}
	}
}

func (s *suspectPublisher) broadcast(ctx context.Context) {
	list := suspectList{From: s.self, Suspects: s.router.Suspects()}
	if s.lastCount == 0 && len(list.Suspects) == 0 {
		return
	}
	s.lastCount = len(list.Suspects)
	for _, addr := range s.peers {
		call := &suspectCall{publisher: s, addr: addr, list: list}
		go call.run(ctx)
	}
}

// suspectCall sends one list to one entry.
type suspectCall struct {
	publisher *suspectPublisher
	addr      string
	list      suspectList
}

// run sends the list. A lost list is made good by the next one.
func (c *suspectCall) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectPeriod)
	defer cancel()
	_ = c.publisher.client.Call(ctx, c.addr, methodSuspects, c.list, nil)
}
