package measure

import (
	"fmt"
	"io"
	"time"
)

const (
	megabyte = 1 << 20
	kilobyte = 1000
)

// printer writes lines of text and stores the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// Markdown writes the report as Markdown tables.
func (r *Report) Markdown(w io.Writer) error {
	p := &printer{w: w}
	r.writeEntries(p)
	r.writeVMs(p)
	r.writeState(p)
	r.writeIdle(p)
	r.writeSlopes(p)
	return p.err
}

func (r *Report) writeEntries(p *printer) {
	p.line("Control daemons by stand-in entries (%d VMs, %d services), idle and at 17,000 changes a day:\n", CurrentSize.VMs, CurrentSize.Services)
	p.line("| entries | window | leader CPU %% | follower CPU %% | leader RSS MB (anonymous) | follower RSS MB | leader KB/s | of which entries | log | follower KB/s | submitted to in force, longest |")
	p.line("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, c := range r.Entries {
		writeWindow(p, c.Spec.Entries, "idle", c.Idle, "")
		writeWindow(p, c.Spec.Entries, "0.2/s", c.Paced, formatMillis(c.PacedInForce))
	}
	p.line("\nBurst of changes, one after the other:\n")
	p.line("| entries | VMs | changes | all in force | accepted to in force, longest | submitted to in force, longest | leader CPU ms/change | follower CPU ms/change | log B/change | entries B/change | operators B/change | leader peak MB |")
	p.line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, list := range [][]ControlResult{r.Entries, r.VMs} {
		for _, c := range list {
			b := c.Burst
			p.line("| %d | %d | %d | %s | %s | %s | %.2f | %.2f | %.0f | %.0f | %.0f | %.1f |", c.Spec.Entries, c.Spec.Size.VMs, b.Changes,
				formatMillis(b.TotalTime), formatMillis(b.AcceptedToInForce), formatMillis(b.SubmittedToInForce), b.LeaderCPU.Seconds()*1000, b.FollowerCPU.Seconds()*1000,
				b.LogBytes, b.EntryBytes, b.OperatorBytes, b.LeaderPeakRSS/megabyte)
		}
	}
}

func writeWindow(p *printer, entries int, name string, w Window, inForce string) {
	p.line("| %d | %s | %.2f | %.2f | %.1f (%.1f) | %.1f | %.1f | %.1f | %.1f | %.1f | %s |", entries, name,
		100*w.Leader.CPU, 100*w.Follower.CPU, w.Leader.RSS/megabyte, w.Leader.AnonRSS/megabyte, w.Follower.RSS/megabyte,
		w.LeaderTraffic()/kilobyte, w.Entries/kilobyte, w.Log/kilobyte, w.Log/2/kilobyte, inForce)
}

func (r *Report) writeVMs(p *printer) {
	p.line("\nControl daemons by VMs and running jobs (12 entries, %d services, %d teams, renewals every second), idle:\n", TwoYearSize.Services, TwoYearSize.Teams)
	p.line("| VMs | jobs | renewals/s | leader CPU %% | follower CPU %% | leader RSS MB | anonymous | peak | follower RSS MB | urgent job to its start, longest of %d |", urgentJobs)
	p.line("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, list := range [][]ControlResult{r.VMs, r.Jobs} {
		for _, c := range list {
			w := c.Idle
			p.line("| %d | %d | %.0f | %.2f | %.2f | %.1f | %.1f | %.1f | %.1f | %s |", c.Spec.Size.VMs, c.Spec.Size.Jobs, w.TaskCallRate,
				100*w.Leader.CPU, 100*w.Follower.CPU, w.Leader.RSS/megabyte, w.Leader.AnonRSS/megabyte, w.Leader.PeakRSS/megabyte, w.Follower.RSS/megabyte, formatMillis(c.UrgentStart))
		}
	}
}

func (r *Report) writeState(p *printer) {
	p.line("\nGrowth of the control state by one record, bytes:\n")
	p.line("| record | snapshot | heap of a replica | whole configuration (JSON) | heap of an entry |")
	p.line("| --- | ---: | ---: | ---: | ---: |")
	for _, g := range r.Growth {
		p.line("| %s | %.0f | %.0f | %.0f | %.0f |", g.Kind, g.Snapshot, g.Heap, g.Config, g.EntryHeap)
	}
	p.line("\nRestart:\n")
	p.line("| VMs | changes | start to answer | CPU until then | peak MB | start of all to a leader |")
	p.line("| ---: | ---: | ---: | ---: | ---: | ---: |")
	for _, s := range r.Restarts {
		p.line("| %d | %d | %s | %s | %.1f | %s |", s.VMs, s.Changes, formatMillis(s.TimeToRespond), formatMillis(s.CPU), s.PeakRSS/megabyte, formatMillis(s.TimeToLeader))
	}
}

func (r *Report) writeIdle(p *printer) {
	p.line("\nEntry daemons, idle, mean of all:\n")
	p.line("| entries | CPU %% | RSS MB | anonymous | KB/s (all system calls) |")
	p.line("| ---: | ---: | ---: | ---: | ---: |")
	for _, e := range r.IdleEntries {
		p.line("| %d | %.2f | %.1f | %.1f | %.1f |", e.Entries, 100*e.CPU, e.RSS/megabyte, e.AnonRSS/megabyte, e.IO/kilobyte)
	}
	p.line("| per request | not measured here | | | |")
}

func (r *Report) writeSlopes(p *printer) {
	p.line("\nSlopes (least squares):\n")
	p.line("| quantity | base | slope | per |")
	p.line("| --- | ---: | ---: | --- |")
	row := func(name, per string, l Line) { p.line("| %s | %.4g | %.4g | %s |", name, l.Base, l.Slope, per) }
	entries := func(c ControlResult) float64 { return float64(c.Spec.Entries) }
	row("leader idle, % of a core", "entry", fitLine(r.Entries, entries, func(c ControlResult) float64 { return 100 * c.Idle.Leader.CPU }))
	row("leader idle, B/s", "entry", fitLine(r.Entries, entries, func(c ControlResult) float64 { return c.Idle.LeaderTraffic() }))
	row("leader idle, RSS MB", "entry", fitLine(r.Entries, entries, func(c ControlResult) float64 { return c.Idle.Leader.RSS / megabyte }))
	row("follower idle, % of a core", "entry", fitLine(r.Entries, entries, func(c ControlResult) float64 { return 100 * c.Idle.Follower.CPU }))
	row("leader, CPU ms per change", "entry", fitLine(r.Entries, entries, func(c ControlResult) float64 { return c.Burst.LeaderCPU.Seconds() * 1000 }))
	row("leader, bytes to entries per change", "entry", fitLine(r.Entries, entries, func(c ControlResult) float64 { return c.Burst.EntryBytes }))
	vms := func(c ControlResult) float64 { return float64(c.Spec.Size.VMs) / 1000 }
	row("leader idle, % of a core", "1,000 VMs", fitLine(r.VMs, vms, func(c ControlResult) float64 { return 100 * c.Idle.Leader.CPU }))
	row("leader idle, RSS MB", "1,000 VMs", fitLine(r.VMs, vms, func(c ControlResult) float64 { return c.Idle.Leader.RSS / megabyte }))
	row("follower idle, RSS MB", "1,000 VMs", fitLine(r.VMs, vms, func(c ControlResult) float64 { return c.Idle.Follower.RSS / megabyte }))
	row("leader, CPU ms per change", "1,000 VMs", fitLine(r.VMs, vms, func(c ControlResult) float64 { return c.Burst.LeaderCPU.Seconds() * 1000 }))
	renewals := func(c ControlResult) float64 { return c.Idle.TaskCallRate }
	row("leader, % of a core", "renewal/s", fitLine(r.Jobs, renewals, func(c ControlResult) float64 { return 100 * c.Idle.Leader.CPU }))
	peers := func(e EntryUsage) float64 { return float64(e.Entries - 1) }
	row("entry idle, % of a core", "other entry", fitLine(r.IdleEntries, peers, func(e EntryUsage) float64 { return 100 * e.CPU }))
	row("entry idle, B/s", "other entry", fitLine(r.IdleEntries, peers, func(e EntryUsage) float64 { return e.IO }))
	row("entry idle, RSS MB", "other entry", fitLine(r.IdleEntries, peers, func(e EntryUsage) float64 { return e.RSS / megabyte }))
}

func formatMillis(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }
