package galenahead

// Resources is an amount of an instance's capacity.
type Resources struct {
	// MilliCPU is in thousandths of a core.
	MilliCPU int64 `cbor:"1,keyasint,omitempty" json:"milli_cpu"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty" json:"memory_mb"`
	GPU      int64 `cbor:"3,keyasint,omitempty" json:"gpu"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference of r and o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Times returns n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{n * r.MilliCPU, n * r.MemoryMB, n * r.GPU}
}

// Covers reports whether r is at least o in every resource.
func (r Resources) Covers(o Resources) bool {
	return o.MilliCPU <= r.MilliCPU && o.MemoryMB <= r.MemoryMB && o.GPU <= r.GPU
}
