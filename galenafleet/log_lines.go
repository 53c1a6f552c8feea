package galenafleet

import (
	"strconv"
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenajob"
	"github.com/galenahead/galenahead/galenalog"
)

// actionLine is the log line of a command to an instance.
type actionLine struct {
	action  galenajob.Action
	outcome galenajob.Outcome
	latency time.Duration
	err     error
	// tickLate is the longest recent scheduling delay of the owner.
	tickLate time.Duration
}

// AppendFields implements galenalog.Line.
func (l actionLine) AppendFields(b []byte) []byte {
	a := l.action
	b = galenalog.AppendString(b, "order", string(a.Kind))
	b = appendItem(b, a.Item)
	b = galenalog.AppendInt(b, "run", a.Run)
	b = galenalog.AppendString(b, "instance", string(a.Instance.ID))
	b = galenalog.AppendInt(b, "fence", a.Fence)
	b = galenalog.AppendString(b, "reason", a.Reason)
	if a.Kind == galenajob.ActStart {
		b = galenalog.AppendInt(b, "waited_ms", a.Waited.Milliseconds())
		b = galenalog.AppendInt(b, "free_milli_cpu", a.Free.MilliCPU)
		b = galenalog.AppendInt(b, "deadline", a.Deadline)
	}
	if a.Kind == galenajob.ActPace {
		b = galenalog.AppendInt(b, "percent", int64(a.Percent))
	}
	b = galenalog.AppendInt(b, "took_us", l.latency.Microseconds())
	if l.err != nil {
		b = galenalog.AppendString(b, "error", l.err.Error())
		b = galenalog.AppendInt(b, "tick_late_max_us", l.tickLate.Microseconds())
	}
	return galenalog.AppendString(b, "outcome", l.outcome.String())
}

func appendItem(b []byte, id galenajob.ItemID) []byte {
	b = galenalog.AppendString(b, "job", string(id.Job))
	k := id.Item
	item := strconv.Itoa(k.Occurrence) + "." + strconv.Itoa(k.Step) + "." + strconv.Itoa(k.Index)
	return galenalog.AppendString(b, "item", item)
}

// endLine is the log line of a recorded end of a run.
type endLine struct {
	end      galenajob.End
	instance galenahead.InstanceID
	state    galenajob.State
}

// AppendFields implements galenalog.Line.
func (l endLine) AppendFields(b []byte) []byte {
	b = appendItem(b, l.end.Item)
	b = galenalog.AppendInt(b, "run", l.end.Number)
	b = galenalog.AppendString(b, "instance", string(l.instance))
	b = galenalog.AppendString(b, "how", string(l.end.Reason))
	return galenalog.AppendString(b, "job_state", string(l.state))
}

// lateRunLine is the log line of a run that was carried out after it was given up.
type lateRunLine struct{ run galenajob.LateRun }

// AppendFields implements galenalog.Line.
func (l lateRunLine) AppendFields(b []byte) []byte {
	b = appendItem(b, l.run.Item)
	b = galenalog.AppendInt(b, "run", l.run.Number)
	b = galenalog.AppendString(b, "instance", string(l.run.Instance))
	if l.run.Reason == "" {
		return galenalog.AppendString(b, "found", "at work")
	}
	return galenalog.AppendString(b, "found", string(l.run.Reason))
}

// lapsedRunLine is the log line of a run whose lease nothing has renewed in time.
type lapsedRunLine struct{ run galenajob.LapsedRun }

// AppendFields implements galenalog.Line.
func (l lapsedRunLine) AppendFields(b []byte) []byte {
	b = appendItem(b, l.run.Item)
	b = galenalog.AppendInt(b, "run", l.run.Number)
	b = galenalog.AppendString(b, "instance", string(l.run.Instance))
	return galenalog.AppendInt(b, "started_in_epoch", int64(l.run.Epoch()))
}

// suspicionLine is the log line of the beginning of a time in which an instance is avoided.
type suspicionLine struct {
	suspicion galenajob.Suspicion
	service   galenahead.ServiceName
}

// AppendFields implements galenalog.Line.
func (l suspicionLine) AppendFields(b []byte) []byte {
	b = galenalog.AppendString(b, "instance", string(l.suspicion.Instance))
	b = galenalog.AppendString(b, "service", string(l.service))
	b = galenalog.AppendInt(b, "failed_jobs", int64(l.suspicion.Jobs))
	return galenalog.AppendInt(b, "avoided_ms", l.suspicion.Duration.Milliseconds())
}

// crashLine is the log line of a recorded crash of an instance under a run.
type crashLine struct {
	crash galenajob.Crash
	state galenajob.State
}

// AppendFields implements galenalog.Line.
func (l crashLine) AppendFields(b []byte) []byte {
	b = appendItem(b, l.crash.Item)
	b = galenalog.AppendInt(b, "run", l.crash.Number)
	b = galenalog.AppendString(b, "instance", string(l.crash.Instance))
	b = galenalog.AppendBool(b, "uncertain", l.crash.Uncertain)
	return galenalog.AppendString(b, "job_state", string(l.state))
}

// requestLine is the log line of a caller's request.
type requestLine struct {
	request Request
	reply   Reply
	latency time.Duration
	epoch   uint64
}

// AppendFields implements galenalog.Line.
func (l requestLine) AppendFields(b []byte) []byte {
	b = galenalog.AppendString(b, "kind", string(l.request.Kind))
	b = galenalog.AppendString(b, "path", l.request.Path)
	b = galenalog.AppendInt(b, "epoch", int64(l.epoch))
	b = galenalog.AppendString(b, "outcome", string(l.reply.Outcome))
	if l.reply.Account != "" {
		b = galenalog.AppendString(b, "account", string(l.reply.Account))
	}
	if l.reply.State != "" {
		b = galenalog.AppendString(b, "state", string(l.reply.State))
	}
	if l.reply.Reason != "" {
		b = galenalog.AppendString(b, "reason", l.reply.Reason)
	}
	return galenalog.AppendInt(b, "took_us", l.latency.Microseconds())
}

// poolLine is the log line of the status of a pool.
type poolLine struct {
	status poolStatus
	// arriving and vacating are the machines on their way to the pool and those that become
	// empty for others.
	arriving, vacating int
}

// AppendFields implements galenalog.Line.
func (l poolLine) AppendFields(b []byte) []byte {
	u := &l.status.usage
	b = galenalog.AppendString(b, "service", string(l.status.service))
	b = galenalog.AppendInt(b, "instances", int64(u.Instances))
	b = galenalog.AppendInt(b, "idle", int64(len(u.Idle)))
	b = galenalog.AppendInt(b, "arriving", int64(l.arriving))
	b = galenalog.AppendInt(b, "vacating", int64(l.vacating))
	b = galenalog.AppendInt(b, "capacity_milli_cpu", u.Capacity.MilliCPU)
	b = galenalog.AppendInt(b, "used_milli_cpu", u.Used.MilliCPU)
	b = galenalog.AppendInt(b, "waiting_milli_cpu", u.Demand.MilliCPU)
	b = galenalog.AppendInt(b, "urgent_milli_cpu", u.Urgent.MilliCPU)
	b = galenalog.AppendInt(b, "waiting_memory_mb", u.Demand.MemoryMB)
	b = galenalog.AppendInt(b, "expected_machines", int64(l.status.expected))
	b = galenalog.AppendInt(b, "share", int64(l.status.share))
	return galenalog.AppendInt(b, "lacking", int64(l.status.shortfall))
}
