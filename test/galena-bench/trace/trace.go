// Package trace reads and writes the traces that the decision benchmarks replay,
// and generates them.
package trace

import (
	"compress/gzip"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Trace holds the requests to one deployment and the faults that occur during
// them. Times are relative to the start of the trace.
type Trace struct {
	Deployment  string        `cbor:"deployment"`
	Seed        uint64        `cbor:"seed"`
	Length      time.Duration `cbor:"length"`
	DataCentres []string      `cbor:"centres"`
	Services    []string      `cbor:"services"`
	Callers     []string      `cbor:"callers"`
	// Entries holds the index of the data centre of each entry.
	Entries   []int      `cbor:"entries"`
	Instances []Instance `cbor:"instances"`
	Faults    []Fault    `cbor:"faults"`
	Requests  []Request  `cbor:"requests"`
}

// Instance is one upstream process.
type Instance struct {
	Service    int `cbor:"1,keyasint"`
	DataCentre int `cbor:"2,keyasint"`
	// Slots is the number of slots that the instance announces. ActualSlots is the
	// number of requests that it runs concurrently; it queues any others itself.
	Slots       int `cbor:"3,keyasint"`
	ActualSlots int `cbor:"4,keyasint"`
	// Slowness is a factor on the run time of every request.
	Slowness float64 `cbor:"5,keyasint"`
}

// FaultKind identifies the kind of a fault.
type FaultKind string

const (
	// FaultFailing is an instance that answers every request with an error at once.
	FaultFailing FaultKind = "failing"
	// FaultFailingLate is an instance that runs every request and then answers with
	// an error.
	FaultFailingLate FaultKind = "failing_late"
	// FaultPaused is an instance that still accepts requests, but neither runs them
	// nor announces itself.
	FaultPaused FaultKind = "frozen"
	// FaultLeaving is an instance that announces that it is leaving and stops 5 s
	// later.
	FaultLeaving FaultKind = "leaving"
	// FaultDataCentreLost is a data centre that loses its network connection, with
	// all instances and entries in it.
	FaultDataCentreLost FaultKind = "centre_lost"
	// FaultEntryLost is an entry that is killed.
	FaultEntryLost FaultKind = "entry_lost"
)

// Fault is a fault that lasts from From until Until. Index is the index of the
// instance, entry or data centre that it affects.
type Fault struct {
	Kind  FaultKind     `cbor:"kind"`
	Index int           `cbor:"index"`
	From  time.Duration `cbor:"from"`
	Until time.Duration `cbor:"until"`
}

// Request is a request as it reaches the load balancer.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// After is the time since the previous request, in microseconds.
	After   uint32
	Service uint8
	Caller  uint8
	// Entry is the entry that the load balancer chose.
	Entry uint8
	// Class identifies the path of the request: 0 for quotes, 1 for orders.
	Class uint8
	// Burst is true if the caller's demand was above its mean at the time.
	Burst bool
	// RunTimeUS is the run time in microseconds on an instance of slowness 1.
	RunTimeUS uint32
	// TimeoutMS is the time from arrival to the deadline, in milliseconds.
	TimeoutMS uint16
}

// Idempotent reports whether the request may run twice, which holds for quotes
// but not for orders.
func (r Request) Idempotent() bool { return r.Class == 0 }

// Path returns the URL path of the request.
func (r Request) Path() string {
	if r.Class == 0 {
		return "/quote"
	}
	return "/order"
}

// WithoutBursts returns a copy of t without the requests that callers sent while
// their demand was above its mean.
func (t *Trace) WithoutBursts() *Trace {
	c := *t
	c.Requests = nil
	var after uint32
	for _, r := range t.Requests {
		after += r.After
		if r.Burst {
			continue
		}
		r.After = after
		after = 0
		c.Requests = append(c.Requests, r)
	}
	return &c
}

// FileName returns the path of a deployment's trace file in the directory dir.
func FileName(dir, deployment string) string {
	return filepath.Join(dir, deployment+".cbor.gz")
}

// Save writes t to its file in dir.
func (t *Trace) Save(dir string) error {
	f, err := os.Create(FileName(dir, t.Deployment))
	if err != nil {
		return eris.Wrap(err, "create trace")
	}
	defer f.Close()
	z, err := gzip.NewWriterLevel(f, gzip.BestCompression)
	if err != nil {
		return eris.Wrap(err, "compress trace")
	}
	if err := cbor.NewEncoder(z).Encode(t); err != nil {
		return eris.Wrap(err, "encode trace")
	}
	if err := z.Close(); err != nil {
		return eris.Wrap(err, "compress trace")
	}
	return eris.Wrap(f.Close(), "write trace")
}

// Load reads the trace of a deployment from dir.
func Load(dir, deployment string) (*Trace, error) {
	f, err := os.Open(FileName(dir, deployment))
	if err != nil {
		return nil, eris.Wrap(err, "open trace; record it with galena-bench generate")
	}
	defer f.Close()
	z, err := gzip.NewReader(f)
	if err != nil {
		return nil, eris.Wrap(err, "decompress trace")
	}
	var t Trace
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 20}.DecMode()
	if err != nil {
		return nil, eris.Wrap(err, "decode trace")
	}
	if err := mode.NewDecoder(z).Decode(&t); err != nil {
		return nil, eris.Wrap(err, "decode trace")
	}
	return &t, nil
}
