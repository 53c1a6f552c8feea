package galenahead

import (
	"strconv"
	"strings"
	"time"
)

// Identifiers are non-empty strings of at most MaxIDLength bytes.
type (
	// ServiceName names a service that runs on a pool.
	ServiceName string
	// CallerName names a caller, a client whose requests the system serves, such as
	// a shop counter or a consortium member.
	CallerName string
	// PoolName names a pool of VMs.
	PoolName string
	// VMName names a VM.
	VMName string
	// RackName names a rack within a data centre.
	RackName string
	// DataCentre names a data centre, the largest failure domain of a VM.
	DataCentre string
	// InstanceID names one running upstream process of a service.
	InstanceID string
	// EntryName names an entry daemon.
	EntryName string
	// ReplicaName names a control daemon that holds a replica of the log.
	ReplicaName string
	// TeamName names a team that owns jobs and a quota.
	TeamName string
	// JobID names a job.
	JobID string
	// AccountName names a client account, whose keys callers send.
	AccountName string
)

// MaxIDLength is the maximum length of an identifier, in bytes.
const MaxIDLength = 64

// Revision is the number of an accepted configuration. It only increases.
type Revision uint64

// Epoch is a fencing token; messages with an older epoch are ignored.
type Epoch uint64

// RequestKey identifies a request across resends. Its form is
// "<issue time in Unix milliseconds>-<random part>".
type RequestKey string

// IssueTime returns the time at which the caller issued the key, or
// ErrBadKey.
func (k RequestKey) IssueTime() (time.Time, error) {
	issued, random, ok := strings.Cut(string(k), "-")
	if !ok || random == "" || len(k) > MaxIDLength {
		return time.Time{}, ErrBadKey
	}
	ms, err := strconv.ParseInt(issued, 10, 64)
	if err != nil || ms < 0 {
		return time.Time{}, ErrBadKey
	}
	return time.UnixMilli(ms), nil
}
