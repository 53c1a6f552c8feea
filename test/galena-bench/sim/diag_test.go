package sim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/test/galena-bench/trace"
)

func TestIdle(t *testing.T) {
	if os.Getenv("IDLE") == "" {
		t.Skip()
	}
	for _, name := range trace.Deployments() {
		for _, g := range []time.Duration{0, 300 * time.Millisecond} {
			tr, _ := trace.Generate(name, trace.Seed)
			w := newWorld(tr)
			o := Shipped()
			o.Gossip = g
			s := newShipped(w, o)
			w.policy = s
			type acc struct{ n, slots, idle, ejected, eIdle, noavail int }
			per := map[int]*acc{}
			var sample func()
			sample = func() {
				if w.now > tr.Length {
					return
				}
				w.in(10*time.Millisecond, sample)
				for si, sn := range tr.Services {
					q := 0
					for _, n := range s.nodes {
						if !n.e.dead {
							q += n.queues.Queue(galenahead.ServiceName(sn)).Len()
						}
					}
					if q < 24 {
						continue
					}
					k := int(w.now / (4 * time.Second))
					if os.Getenv("IDLE") == "2" {
						k = int(w.now / (250 * time.Millisecond))
					}
					a := per[k]
					if a == nil {
						a = &acc{}
						per[k] = a
					}
					a.n++
					for _, in := range w.instances {
						if in.Service != si || !in.announced || in.failing || in.cutOff || in.frozenTo > w.now {
							continue
						}
						rej := 0
						for _, n := range s.nodes {
							if !n.router.Usable(w.time(), galenahead.SlotLease{Service: galenahead.ServiceName(sn), Instance: in.id}) {
								rej++
							}
						}
						idle := in.Slots - in.inFlight
						a.slots += in.Slots
						a.idle += idle
						if rej > 0 {
							a.ejected++
							a.eIdle += idle
						}
						a.noavail += rej
					}
				}
			}
			w.at(0, sample)
			w.replay()
			fmt.Println(name, "gossip", g)
			for k := 0; k < 40; k++ {
				if a := per[k]; a != nil {
					fmt.Printf("  burst %d samples %d slots/sample %.1f idle %.2f idle on instances rejected by some entry %.2f (mean rejecting entry-instances %.2f)\n", k, a.n, float64(a.slots)/float64(a.n), float64(a.idle)/float64(a.n), float64(a.eIdle)/float64(a.n), float64(a.noavail)/float64(a.n))
				}
			}
		}
	}
}
