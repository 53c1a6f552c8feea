package galenafleet

// CallerLimits bound the requests of callers.
type CallerLimits struct {
	// MaxBodyBytes is the limit of a body.
	MaxBodyBytes int `cbor:"1,keyasint,omitempty" json:"max_body_bytes,omitempty"`
}

// DefaultMaxBody is the limit of a body in bytes, unless the configuration has another one.
const DefaultMaxBody = 256 << 10

// CallerLimits returns the limits of the configuration in force, or nil if they are the default.
func (s *State) CallerLimits() *CallerLimits {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.config == nil || s.config.Limits.MaxBodyBytes == 0 || s.config.Limits.MaxBodyBytes == DefaultMaxBody {
		return nil
	}
	l := s.config.Limits
	return &l
}

// MaxBody returns the limit of a caller's body in bytes, as the leader named it last.
func (d *Directory) MaxBody() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.peerInfo[d.leader].Limits; l != nil && l.MaxBodyBytes > 0 {
		return l.MaxBodyBytes
	}
	return DefaultMaxBody
}
