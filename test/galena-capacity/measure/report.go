package measure

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead/test/galena-capacity/fleet"
)

// Report holds the figures of one run.
type Report struct {
	// Entries has one element for each number of stand-in entries, VMs for each
	// number of VMs, Jobs for each number of running jobs.
	Entries, VMs, Jobs []Control
	Growth             []Growth
	Restarts           []Restart
	Idle               []Entry
}

const (
	idleWindow  = 8 * time.Second
	pacedWindow = 3 * changePeriod
	burstSize   = 200
	urgentJobs  = 20
	// renewInterval is far above a window where renewals are not measured.
	renewInterval = time.Minute
)

// Today is the size of one deployment today.
var Today = fleet.Size{VMs: 50, Pools: 5, Teams: 5, Services: 5}

// InTwoYears is the size of section 1.6 of the design, without jobs.
var InTwoYears = fleet.Size{VMs: 16_000, Pools: 25, Teams: 800, Services: 25}

// All takes every measurement. Two fleets run at a time; the figures are
// processor times and bytes, which this disturbs little.
func (r *Runner) All(ctx context.Context) (*Report, error) {
	out := &Report{}
	var err error
	if out.Growth, err = State(); err != nil {
		return nil, err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.byEntries(ctx, out) })
	g.Go(func() error { return r.bySize(ctx, out) })
	return out, g.Wait()
}

func (r *Runner) byEntries(ctx context.Context, out *Report) error {
	for _, n := range []int{12, 100, 400} {
		c, err := r.Control(ctx, Spec{Entries: n, Size: Today, Renew: renewInterval, Idle: idleWindow, Paced: pacedWindow, Burst: burstSize})
		if err != nil {
			return err
		}
		out.Entries = append(out.Entries, c)
	}
	for _, n := range []int{3, 12} {
		e, err := r.Entry(ctx, n, idleWindow)
		if err != nil {
			return err
		}
		out.Idle = append(out.Idle, e)
	}
	return nil
}

func (r *Runner) bySize(ctx context.Context, out *Report) error {
	for _, n := range []int{1000, 4000, 16_000} {
		size := InTwoYears
		size.VMs = n
		c, err := r.Control(ctx, Spec{Entries: 12, Size: size, Renew: renewInterval, Idle: idleWindow, Burst: burstSize / 4, Urgent: urgentJobs})
		if err != nil {
			return err
		}
		out.VMs = append(out.VMs, c)
	}
	for _, n := range []int{250, 1000} {
		size := InTwoYears
		size.VMs, size.Jobs = n, n
		c, err := r.Control(ctx, Spec{Entries: 12, Size: size, Renew: time.Second, Idle: idleWindow, Urgent: urgentJobs})
		if err != nil {
			return err
		}
		out.Jobs = append(out.Jobs, c)
	}
	for _, size := range []fleet.Size{Today, InTwoYears} {
		s, err := r.Restart(ctx, size)
		if err != nil {
			return err
		}
		out.Restarts = append(out.Restarts, s)
	}
	return nil
}
