// Package trace holds the recorded traces that the decision benchmarks replay,
// and the generator they were recorded with.
package trace

import (
	"compress/gzip"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Trace is the demand on one deployment and the faults during it. Times are
// counted from the start of the trace.
type Trace struct {
	Deployment string        `cbor:"deployment"`
	Seed       uint64        `cbor:"seed"`
	Length     time.Duration `cbor:"length"`
	Centres    []string      `cbor:"centres"`
	Services   []string      `cbor:"services"`
	Callers    []string      `cbor:"callers"`
	// Entries holds the data centre of each entry.
	Entries   []int      `cbor:"entries"`
	Instances []Instance `cbor:"instances"`
	Faults    []Fault    `cbor:"faults"`
	Requests  []Request  `cbor:"requests"`
}

// Instance is one upstream process.
type Instance struct {
	Service int `cbor:"1,keyasint"`
	Centre  int `cbor:"2,keyasint"`
	// Slots is what it announces, Actual how many requests it really runs at
	// once; the others wait inside it.
	Slots  int `cbor:"3,keyasint"`
	Actual int `cbor:"4,keyasint"`
	// Slowness multiplies every run time.
	Slowness float64 `cbor:"5,keyasint"`
}

// FaultKind is a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultFailing is an instance that answers everything with an error at once.
	FaultFailing FaultKind = "failing"
	// FaultFailingLate is an instance that runs everything and then answers with
	// an error.
	FaultFailingLate FaultKind = "failing_late"
	// FaultFrozen is an instance that accepts requests and neither runs nor
	// announces anything.
	FaultFrozen FaultKind = "frozen"
	// FaultLeaving is an instance that announces that it leaves and stops 5 s
	// later.
	FaultLeaving FaultKind = "leaving"
	// FaultCentre is a data centre that is cut off with all in it.
	FaultCentre FaultKind = "centre_lost"
	// FaultEntry is an entry that is killed.
	FaultEntry FaultKind = "entry_lost"
)

// Fault is one fault between two times.
type Fault struct {
	Kind  FaultKind     `cbor:"kind"`
	Index int           `cbor:"index"`
	From  time.Duration `cbor:"from"`
	Until time.Duration `cbor:"until"`
}

// Request is one request as it reaches the load balancer.
type Request struct {
	_ struct{} `cbor:",toarray"`
	// After is the time since the request before, in microseconds.
	After   uint32
	Service uint8
	Caller  uint8
	// Entry is the entry that the load balancer chose.
	Entry uint8
	// Class is the index of its path: 0 for quotes, 1 for orders.
	Class uint8
	// Burst tells that the caller's demand was above its mean.
	Burst bool
	// RunMicros is its run time on an instance of slowness 1, in microseconds.
	RunMicros uint32
	// PatienceMS is the time from arrival to deadline in milliseconds.
	PatienceMS uint16
}

// Idempotent tells whether the request may run twice. Quotes may, orders not.
func (r Request) Idempotent() bool { return r.Class == 0 }

// Path returns the path of the request.
func (r Request) Path() string {
	if r.Class == 0 {
		return "/quote"
	}
	return "/order"
}

// WithoutBursts returns a copy of t without the requests of callers above
// their mean demand.
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

// FileName returns the name of a deployment's trace in the directory dir.
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
