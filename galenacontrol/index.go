package galenacontrol

import (
	"time"

	"github.com/galenahead/galenahead"
	"github.com/galenahead/galenahead/galenastate"
)

// workerIndex keeps the placer in step with the control state.
type workerIndex struct {
	placer placer
}

type placer interface {
	galenahead.Placer
	Start(job galenahead.JobSpec, worker galenahead.VMName, now time.Time)
}

func newWorkerIndex() *workerIndex { return &workerIndex{} }

func (x *workerIndex) sync(*galenastate.View) {}
