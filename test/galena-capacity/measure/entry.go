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

// entrySettle is the time until an entry daemon is idle: a claim replica waits
// for 2 s and a broker for its first lease.
const entrySettle = 6 * time.Second

// Entry is what an idle entry daemon uses among a number of them. The first
// one has the brokers' lists like all others and stands for them.
type Entry struct {
	Entries int
	// Daemon is the mean over all entries.
	Daemon
}

// entrySetup configures five services, as each deployment has today.
var entrySetup = []string{
	"pool set pool-0 --spare",
	"service set counter --pool pool-0", "service set workshop --pool pool-0", "service set courier --pool pool-0",
	"service set intake --pool pool-0", "service set other --pool pool-0",
}

// Entry measures n idle entry daemons.
func (r *Runner) Entry(ctx context.Context, n int, window time.Duration) (out Entry, err error) {
	dir, err := os.MkdirTemp(r.Dir, "entries-")
	if err != nil {
		return out, eris.Wrap(err, "make a directory")
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
			_, err := d.Ctl(ctx, strings.Fields(c)...)
			return err
		})
		if err != nil {
			return out, err
		}
	}
	if err := sleep(ctx, entrySettle); err != nil {
		return out, err
	}
	return entryWindow(ctx, d, window)
}

func entryWindow(ctx context.Context, d *deployment.Deployment, window time.Duration) (Entry, error) {
	before, err := entryUsage(d)
	if err != nil {
		return Entry{}, err
	}
	if err := sleep(ctx, window); err != nil {
		return Entry{}, err
	}
	after, err := entryUsage(d)
	if err != nil {
		return Entry{}, err
	}
	out := Entry{Entries: len(before)}
	n := float64(len(before))
	for i := range before {
		u := used(before[i], after[i])
		out.CPU += u.CPU / n
		out.RSS += u.RSS / n
		out.Anon += u.Anon / n
		out.Peak = max(out.Peak, u.Peak)
		out.IO += u.IO / n
	}
	return out, nil
}

func entryUsage(d *deployment.Deployment) ([]fleet.Usage, error) {
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
