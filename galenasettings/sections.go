package galenasettings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/galenahead/galenahead"
)

const (
	defaultStopDelay = 2 * time.Second
	maxStopDelay     = 5 * time.Minute
	maxProcsLimit    = 1024
	maxBodyLimitKB   = 64 << 10
	maxQueueLength   = 1_000_000
	maxMemoryMB      = 64 << 10
	// maxDeadline is the longest deadline that brokers account for.
	maxDeadline      = 30 * time.Second
	maxRenewInterval = time.Minute
	maxWeight        = 100
	// minEntries is the number of claim replicas of a request key.
	minEntries = 3
)

func readProcess(r *reader) Process {
	const s = "process"
	p := Process{
		Name:       required(r, s, "name", name[string]()),
		DataCentre: required(r, s, "data_centre", name[galenahead.DataCentre]()),
		Region:     required(r, s, "region", name[string]()),
	}
	p.StopDelay, _ = optional(r, s, "stop_delay", duration(0, maxStopDelay), defaultStopDelay)
	p.LogLevel, _ = optional(r, s, "log_level", level(), logrus.InfoLevel)
	p.LogFile, _ = optional(r, s, "log_file", text("a path, or - for standard error"), "-")
	p.MaxProcs, _ = optional(r, s, "max_procs", integer(0, maxProcsLimit, "cores, 0 for no limit"), 0)
	return p
}

func readListen(r *reader, key string) netip.AddrPort {
	return required(r, "listen", key, address())
}

func claimListen(r *reader, key string, a netip.AddrPort) {
	if it, ok, _ := r.lookup("listen", key); ok {
		r.claimAddress("listen", key, it.line, a)
	}
}

func readLimits(r *reader) Limits {
	const s = "limits"
	return Limits{
		MaxBodyKB:       required(r, s, "max_body_kb", integer(1, maxBodyLimitKB, "KB")),
		QueuePerService: required(r, s, "queue_per_service", integer(1, maxQueueLength, "requests")),
		QueueMB:         required(r, s, "queue_mb", integer(1, maxMemoryMB, "MB")),
		DefaultDeadline: required(r, s, "default_deadline", duration(time.Millisecond, maxDeadline)),
		ClaimMemoryMB:   required(r, s, "claim_memory_mb", integer(1, maxMemoryMB, "MB")),
	}
}

func readWeights(r *reader) Weights {
	const s = "weights"
	before := len(r.faults)
	w := Weights{
		BufferCost:  required(r, s, "buffer_cost", number(0, maxWeight)),
		RolloutTime: required(r, s, "rollout_time", number(0, maxWeight)),
	}
	sec := r.doc.find(s)
	if sec != nil && len(r.faults) == before && w.BufferCost+w.RolloutTime == 0 {
		r.fault(s, "", sec.line, "only weights of 0", "at least one weight above 0")
	}
	return w
}

func readPlatform(r *reader) Platform {
	const s = "platform"
	p := Platform{
		Worker:        required(r, s, "worker_address", address()),
		RenewInterval: required(r, s, "renew_interval", duration(10*time.Millisecond, maxRenewInterval)),
	}
	if it, ok, _ := r.lookup(s, "worker_address"); ok {
		r.claimAddress(s, "worker_address", it.line, p.Worker)
	}
	return p
}

func readEntries(r *reader) []EntryPeer {
	const s = "entries"
	var peers []EntryPeer
	for _, it := range r.list(s) {
		dc, addrs, ok := r.peer(s, it, "<data centre> <peer ip:port>", 1)
		if ok {
			peers = append(peers, EntryPeer{galenahead.EntryName(it.key), dc, addrs[0]})
		}
	}
	if sec := r.doc.find(s); sec != nil && len(sec.items) < minEntries {
		r.fault(s, "", sec.line, fmt.Sprintf("%d entries", len(sec.items)), fmt.Sprintf("at least %d", minEntries))
	}
	return peers
}

func readControl(r *reader) []ControlPeer {
	const s = "control"
	var peers []ControlPeer
	for _, it := range r.list(s) {
		dc, addrs, ok := r.peer(s, it, "<data centre> <peer ip:port> <operator ip:port>", 2)
		if ok {
			peers = append(peers, ControlPeer{galenahead.ReplicaName(it.key), dc, addrs[0], addrs[1]})
		}
	}
	if sec := r.doc.find(s); sec != nil && len(sec.items) == 0 {
		r.fault(s, "", sec.line, "0 control daemons", "at least 1")
	}
	return peers
}

// peer reads one key of a list: a name, a data centre and n addresses.
func (r *reader) peer(section string, it item, allowed string, n int) (galenahead.DataCentre, []netip.AddrPort, bool) {
	fields := strings.Fields(it.value)
	bad := func(why string) (galenahead.DataCentre, []netip.AddrPort, bool) {
		r.fault(section, it.key, it.line, fmt.Sprintf("%q (%s)", it.value, why), allowed)
		return "", nil, false
	}
	if !validName(it.key) {
		r.fault(section, it.key, it.line, fmt.Sprintf("%q (%v)", it.key, errName), nameAllowed)
	}
	if len(fields) != n+1 {
		return bad(fmt.Sprintf("%d fields", len(fields)))
	}
	if !validName(fields[0]) {
		return bad("the data centre is " + errName.Error())
	}
	addrs := make([]netip.AddrPort, n)
	for i := range addrs {
		a, err := parseAddress(fields[i+1])
		if err != nil {
			return bad(fields[i+1] + ": " + err.Error())
		}
		r.claimAddress(section, it.key, it.line, a)
		addrs[i] = a
	}
	return galenahead.DataCentre(fields[0]), addrs, true
}

// checkListed reports that the process is not in the list of its peers.
func checkListed(r *reader, list, own string) {
	s := r.doc.find(list)
	it, ok, _ := r.lookup("process", "name")
	if s == nil || !ok || own == "" {
		return
	}
	if _, listed := s.find(own); !listed {
		r.fault("process", "name", it.line, fmt.Sprintf("%q, which is not in [%s]", own, list), "a name in ["+list+"]")
	}
}

// checkOwn reports that the process's own line in the list differs from its
// own sections.
func checkOwn(r *reader, list string, p Process, dc galenahead.DataCentre, key string, own, listed netip.AddrPort) {
	if it, ok, _ := r.lookup("process", "data_centre"); ok && p.DataCentre != "" && p.DataCentre != dc {
		found := fmt.Sprintf("%q, but [%s] has %q for %s", p.DataCentre, list, dc, p.Name)
		r.faultOnce("process", "data_centre", it.line, found, "the data centre in ["+list+"]")
	}
	if it, ok, _ := r.lookup("listen", key); ok && own.IsValid() && own != listed {
		found := fmt.Sprintf("%s, but [%s] has %s for %s", own, list, listed, p.Name)
		r.fault("listen", key, it.line, found, "the address in ["+list+"]")
	}
}

func (r *reader) faultOnce(section, key string, line int, found, allowed string) {
	for _, f := range r.faults {
		if f.Section == section && f.Key == key && f.Found == found {
			return
		}
	}
	r.fault(section, key, line, found, allowed)
}
