package measure

import (
	"context"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead/test/galena-capacity/fleet"
	"github.com/galenahead/galenahead/test/galena-local/deployment"
)

// entryWarmUpTime is the time after which a new entry daemon is idle. A claim replica
// waits 2 s after its start, and a broker waits for its first lease.
const entryWarmUpTime = 6 * time.Second

// EntryUsage is the mean resource usage of idle entry daemons in a deployment with the
// given number of entries. PeakRSS is the maximum over the entries instead.
type EntryUsage struct {
	Entries int
	DaemonUsage
}

// entrySetup are the commands that configure five services, the current number in
// each deployment.
var entrySetup = []string{
	"pool set pool-0 --spare",
	"service set counter --pool pool-0", "service set workshop --pool pool-0", "service set courier --pool pool-0",
	"service set intake --pool pool-0", "service set other --pool pool-0",
}

// MeasureEntries measures n idle entry daemons for the given time.
func (r *Runner) MeasureEntries(ctx context.Context, n int, window time.Duration) (out EntryUsage, err error) {
	dir, err := os.MkdirTemp(r.Dir, "entries-")
	if err != nil {
		return out, eris.Wrap(err, "create temporary directory")
	}
	d, err := deployment.New(dir, r.Bin, 1, n)
	if err != nil {
		return out, err
	}
	defer func() { err = firstError(err, d.Stop()) }()
	if err := d.Start(ctx); err != nil {
		return out, err
	}
	for _, c := range entrySetup {
		err := d.Eventually(ctx, func() error {
			_, err := d.RunCtl(ctx, strings.Fields(c)...)
			return err
		})
		if err != nil {
			return out, err
		}
	}
	if err := sleep(ctx, entryWarmUpTime); err != nil {
		return out, err
	}
	return measureEntryWindow(ctx, d, window)
}

func measureEntryWindow(ctx context.Context, d *deployment.Deployment, window time.Duration) (EntryUsage, error) {
	before, err := readEntryUsage(d)
	if err != nil {
		return EntryUsage{}, err
	}
	if err := sleep(ctx, window); err != nil {
		return EntryUsage{}, err
	}
	after, err := readEntryUsage(d)
	if err != nil {
		return EntryUsage{}, err
	}
	out := EntryUsage{Entries: len(before)}
	n := float64(len(before))
	for i := range before {
		u := usageBetween(before[i], after[i])
		out.CPU += u.CPU / n
		out.RSS += u.RSS / n
		out.AnonRSS += u.AnonRSS / n
		out.PeakRSS = max(out.PeakRSS, u.PeakRSS)
		out.IO += u.IO / n
	}
	return out, nil
}

func readEntryUsage(d *deployment.Deployment) ([]fleet.Usage, error) {
	var list []fleet.Usage
	for _, e := range d.Entries() {
		u, err := fleet.ReadUsage(e.PID())
		if err != nil {
			return nil, err
		}
		list = append(list, u)
	}
	return list, nil
}
