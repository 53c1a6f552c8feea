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
	// maxStopDelay also bounds grace_period.
	maxStopDelay   = 5 * time.Minute
	maxProcsLimit  = 1024
	minOpenFiles   = 64
	openFilesLimit = 1 << 20
	maxBodyLimitKB = 64 << 10
	maxQueueLength = 1_000_000
	maxMemoryMB    = 64 << 10
	// maxDeadline is the longest request deadline that slot brokers assume.
	maxDeadline      = 30 * time.Second
	maxRenewInterval = time.Minute
	maxWeight        = 100
	// minEntries is the minimum number of entries in a deployment. Three entries
	// vote on each claim on a request key.
	minEntries = 3
)

func readProcess(r *reader) Process {
	const section = "process"
	p := Process{
		Name:       required(r, section, "name", name[string]()),
		DataCentre: required(r, section, "data_centre", name[galenahead.DataCentre]()),
		Region:     required(r, section, "region", name[string]()),
	}
	p.StopDelay, _ = optional(r, section, "stop_delay", duration(0, maxStopDelay), defaultStopDelay)
	p.LogLevel, _ = optional(r, section, "log_level", logLevel(), logrus.InfoLevel)
	p.LogFile, _ = optional(r, section, "log_file", text("a path, or - for standard error"), "-")
	p.MaxOpenFiles, _ = optional(r, section, "max_open_files", integer(minOpenFiles, openFilesLimit, "descriptors"), 0)
	p.MachineMemoryMB, _ = optional(r, section, "machine_memory_mb", integer(0, maxMemoryMB, "MB, 0 for no limit"), 0)
	p.MaxProcs, _ = optional(r, section, "max_procs", integer(0, maxProcsLimit, "cores, 0 for no limit"), 0)
	return p
}

// readListen reads one address of the section [listen].
func readListen(r *reader, key string) netip.AddrPort {
	return required(r, "listen", key, address())
}

// registerListenAddress registers an address of the section [listen].
func registerListenAddress(r *reader, key string, a netip.AddrPort) {
	if kv, ok, _ := r.lookup("listen", key); ok {
		r.registerAddress("listen", key, kv.line, a)
	}
}

func readLimits(r *reader) Limits {
	const section = "limits"
	return Limits{
		MaxBodyKB:       required(r, section, "max_body_kb", integer(1, maxBodyLimitKB, "KB")),
		QueuePerService: required(r, section, "queue_per_service", integer(1, maxQueueLength, "requests")),
		QueueMB:         required(r, section, "queue_mb", integer(1, maxMemoryMB, "MB")),
		DefaultDeadline: required(r, section, "default_deadline", duration(time.Millisecond, maxDeadline)),
		ClaimMemoryMB:   required(r, section, "claim_memory_mb", integer(1, maxMemoryMB, "MB")),
	}
}

func readWeights(r *reader) Weights {
	const section = "weights"
	faultsBefore := len(r.faults)
	w := Weights{
		BufferCost:  required(r, section, "buffer_cost", number(0, maxWeight)),
		RolloutTime: required(r, section, "rollout_time", number(0, maxWeight)),
	}
	sec := r.doc.find(section)
	if sec != nil && len(r.faults) == faultsBefore && w.BufferCost+w.RolloutTime == 0 {
		r.addFault(section, "", sec.line, "only weights of 0", "at least one weight above 0")
	}
	return w
}

func readPlatform(r *reader) Platform {
	const section = "platform"
	p := Platform{
		Worker:        required(r, section, "worker_address", address()),
		RenewInterval: required(r, section, "renew_interval", duration(10*time.Millisecond, maxRenewInterval)),
	}
	if kv, ok, _ := r.lookup(section, "worker_address"); ok {
		r.registerAddress(section, "worker_address", kv.line, p.Worker)
	}
	return p
}

func readEntries(r *reader) []EntryPeer {
	const section = "entries"
	var peers []EntryPeer
	for _, kv := range r.allKeys(section) {
		dc, addrs, ok := r.parsePeer(section, kv, "<data centre> <peer ip:port>", 1)
		if ok {
			peers = append(peers, EntryPeer{galenahead.EntryName(kv.key), dc, addrs[0]})
		}
	}
	if sec := r.doc.find(section); sec != nil && len(sec.keys) < minEntries {
		r.addFault(section, "", sec.line, fmt.Sprintf("%d entries", len(sec.keys)), fmt.Sprintf("at least %d", minEntries))
	}
	return peers
}

func readControl(r *reader) []ControlPeer {
	const section = "control"
	var peers []ControlPeer
	for _, kv := range r.allKeys(section) {
		dc, addrs, ok := r.parsePeer(section, kv, "<data centre> <peer ip:port> <operator ip:port>", 2)
		if ok {
			peers = append(peers, ControlPeer{galenahead.ReplicaName(kv.key), dc, addrs[0], addrs[1]})
		}
	}
	if sec := r.doc.find(section); sec != nil && len(sec.keys) == 0 {
		r.addFault(section, "", sec.line, "0 control daemons", "at least 1")
	}
	return peers
}

// parsePeer parses one line of a list of peers: the key is the peer's name, the
// value its data centre and n addresses.
func (r *reader) parsePeer(section string, kv keyValue, allowed string, n int) (galenahead.DataCentre, []netip.AddrPort, bool) {
	fields := strings.Fields(kv.value)
	reject := func(reason string) (galenahead.DataCentre, []netip.AddrPort, bool) {
		r.addFault(section, kv.key, kv.line, fmt.Sprintf("%q (%s)", kv.value, reason), allowed)
		return "", nil, false
	}
	if !validName(kv.key) {
		r.addFault(section, kv.key, kv.line, fmt.Sprintf("%q (%v)", kv.key, errInvalidName), nameFormat)
	}
	if len(fields) != n+1 {
		return reject(fmt.Sprintf("%d fields", len(fields)))
	}
	if !validName(fields[0]) {
		return reject("the data centre is " + errInvalidName.Error())
	}
	addrs := make([]netip.AddrPort, n)
	for i := range addrs {
		a, err := parseAddress(fields[i+1])
		if err != nil {
			return reject(fields[i+1] + ": " + err.Error())
		}
		r.registerAddress(section, kv.key, kv.line, a)
		addrs[i] = a
	}
	return galenahead.DataCentre(fields[0]), addrs, true
}

// checkListed reports a process name that is not listed in the section that list
// names.
func checkListed(r *reader, list, ownName string) {
	s := r.doc.find(list)
	kv, ok, _ := r.lookup("process", "name")
	if s == nil || !ok || ownName == "" {
		return
	}
	if _, listed := s.find(ownName); !listed {
		r.addFault("process", "name", kv.line, fmt.Sprintf("%q, which is not in [%s]", ownName, list), "a name in ["+list+"]")
	}
}

// checkOwnPeer reports a difference between the process's line in the section that
// list names and the sections [process] and [listen].
func checkOwnPeer(r *reader, list string, p Process, listedDC galenahead.DataCentre, key string, ownAddress, listedAddress netip.AddrPort) {
	if kv, ok, _ := r.lookup("process", "data_centre"); ok && p.DataCentre != "" && p.DataCentre != listedDC {
		found := fmt.Sprintf("%q, but [%s] has %q for %s", p.DataCentre, list, listedDC, p.Name)
		r.addFaultOnce("process", "data_centre", kv.line, found, "the data centre in ["+list+"]")
	}
	if kv, ok, _ := r.lookup("listen", key); ok && ownAddress.IsValid() && ownAddress != listedAddress {
		found := fmt.Sprintf("%s, but [%s] has %s for %s", ownAddress, list, listedAddress, p.Name)
		r.addFault("listen", key, kv.line, found, "the address in ["+list+"]")
	}
}

// addFaultOnce records a fault unless the same one is recorded already.
func (r *reader) addFaultOnce(section, key string, line int, found, allowed string) {
	for _, f := range r.faults {
		if f.Section == section && f.Key == key && f.Found == found {
			return
		}
	}
	r.addFault(section, key, line, found, allowed)
}
