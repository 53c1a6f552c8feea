package measure

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenahead/galenahead/test/galena-capacity/fleet"
)

// Report holds the results of all measurements.
type Report struct {
	// Entries has one element for each number of fake entries, VMs one for each number of
	// VMs, and Jobs one for each number of running jobs.
	Entries, VMs, Jobs []ControlResult
	Growth             []Growth
	Restarts           []RestartResult
	IdleEntries        []EntryUsage
}

const (
	idleWindow  = 8 * time.Second
	pacedWindow = 3 * changePeriod
	burstSize   = 200
	urgentJobs  = 20
	// renewInterval is far longer than any window, for measurements without lease
	// renewals.
	renewInterval = time.Minute
)

// CurrentSize is the current size of one deployment.
var CurrentSize = fleet.Size{VMs: 50, Pools: 5, Teams: 5, Services: 5}

// TwoYearSize is the size expected in two years by section 1.6 of the design page,
// without jobs.
var TwoYearSize = fleet.Size{VMs: 16_000, Pools: 25, Teams: 800, Services: 25}

// MeasureAll runs all measurements. Two fleets run at a time. This hardly affects the
// results, which are mainly processor times and bytes.
func (r *Runner) MeasureAll(ctx context.Context) (*Report, error) {
	out := &Report{}
	var err error
	if out.Growth, err = StateGrowth(); err != nil {
		return nil, err
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.measureByEntries(ctx, out) })
	g.Go(func() error { return r.measureBySize(ctx, out) })
	return out, g.Wait()
}

func (r *Runner) measureByEntries(ctx context.Context, out *Report) error {
	for _, n := range []int{12, 100, 400} {
		c, err := r.MeasureControl(ctx, Spec{Entries: n, Size: CurrentSize, RenewInterval: renewInterval, Idle: idleWindow, Paced: pacedWindow, Burst: burstSize})
		if err != nil {
			return err
		}
		out.Entries = append(out.Entries, c)
	}
	for _, n := range []int{3, 12} {
		e, err := r.MeasureEntries(ctx, n, idleWindow)
		if err != nil {
			return err
		}
		out.IdleEntries = append(out.IdleEntries, e)
	}
	return nil
}

func (r *Runner) measureBySize(ctx context.Context, out *Report) error {
	for _, n := range []int{1000, 4000, 16_000} {
		size := TwoYearSize
		size.VMs = n
		c, err := r.MeasureControl(ctx, Spec{Entries: 12, Size: size, RenewInterval: renewInterval, Idle: idleWindow, Burst: burstSize / 4, UrgentJobs: urgentJobs})
		if err != nil {
			return err
		}
		out.VMs = append(out.VMs, c)
	}
	for _, n := range []int{250, 1000} {
		size := TwoYearSize
		size.VMs, size.Jobs = n, n
		c, err := r.MeasureControl(ctx, Spec{Entries: 12, Size: size, RenewInterval: time.Second, Idle: idleWindow, UrgentJobs: urgentJobs})
		if err != nil {
			return err
		}
		out.Jobs = append(out.Jobs, c)
	}
	for _, size := range []fleet.Size{CurrentSize, TwoYearSize} {
		s, err := r.MeasureRestart(ctx, size)
		if err != nil {
			return err
		}
		out.Restarts = append(out.Restarts, s)
	}
	return nil
}
