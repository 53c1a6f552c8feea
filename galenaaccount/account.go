// Package galenaaccount decides for client accounts: which key belongs to which account,
// what each may have running, who goes first where there is too little room, and what an
// account sends beyond its rate. It uses no sockets, goroutines or clocks.
package galenaaccount

import (
	"crypto/sha256"
	"encoding/base64"
	"math"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/galenahead/galenahead"
)

// MaxKeyLength is the maximum length of a key, in bytes.
const MaxKeyLength = 256

// Digest is the digest of a key. It may be logged and stored, unlike the key.
type Digest string

// DigestKey returns the digest of a key.
func DigestKey(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(base64.RawURLEncoding.EncodeToString(sum[:]))
}

// Account is a client account of a configuration.
type Account struct {
	Name galenahead.AccountName `cbor:"1,keyasint"`
	// Weight is the account's share relative to others, and how many jobs it may submit in
	// a second before the others go first.
	Weight float64 `cbor:"2,keyasint"`
	// Limit bounds what the account may have running on all instances together. Zero means
	// no limit of that resource.
	Limit galenahead.Resources `cbor:"3,keyasint"`
	Keys  []Digest             `cbor:"4,keyasint,omitempty"`
}

// WithoutKeys returns the account without its keys.
func (a Account) WithoutKeys() Account {
	a.Keys = nil
	return a
}

// maxAmount bounds limits, so that sums do not overflow, and maxWeight weights.
const (
	maxAmount = 1 << 50
	maxWeight = 1 << 30
)

// Check fails with galenahead.ErrInvalid, and a message that names the account and no key,
// unless the accounts can be in one configuration.
func Check(accounts []Account) error {
	names := map[galenahead.AccountName]bool{}
	owners := map[Digest]galenahead.AccountName{}
	for i, a := range accounts {
		switch {
		case a.Name == "" || len(a.Name) > galenahead.MaxIDLength:
			return eris.Wrapf(galenahead.ErrInvalid, "account %d needs a name of 1 to %d bytes", i, galenahead.MaxIDLength)
		case names[a.Name]:
			return eris.Wrapf(galenahead.ErrInvalid, "account %q is there twice", a.Name)
		case math.IsNaN(a.Weight) || a.Weight < 0 || a.Weight > maxWeight:
			return eris.Wrapf(galenahead.ErrInvalid, "account %q has a weight that is not from 0 to %d", a.Name, maxWeight)
		}
		names[a.Name] = true
		for _, amount := range []int64{a.Limit.MilliCPU, a.Limit.MemoryMB, a.Limit.GPU} {
			if amount < 0 || amount > maxAmount {
				return eris.Wrapf(galenahead.ErrInvalid, "account %q has a limit of %d, which is out of range", a.Name, amount)
			}
		}
		for _, k := range a.Keys {
			other, ok := owners[k]
			switch {
			case ok && other != a.Name:
				return eris.Wrapf(galenahead.ErrInvalid, "accounts %q and %q share a key", other, a.Name)
			case !ok:
				owners[k] = a.Name
			}
		}
	}
	return nil
}

// Keys finds the accounts of keys. Its zero value knows no key.
type Keys map[Digest]galenahead.AccountName

// NewKeys returns the keys of accounts.
func NewKeys(accounts []Account) Keys {
	keys := Keys{}
	for _, a := range accounts {
		for _, k := range a.Keys {
			keys[k] = a.Name
		}
	}
	return keys
}

// Retire returns the accounts whose limits still hold after a change of the configuration:
// those of retired and of before that are not in present. They have no keys.
func Retire(retired, before, present []Account) []Account {
	var out []Account
	listed := func(accounts []Account, name galenahead.AccountName) bool {
		return slices.ContainsFunc(accounts, func(a Account) bool { return a.Name == name })
	}
	for _, a := range slices.Concat(before, retired) {
		if !listed(present, a.Name) && !listed(out, a.Name) {
			out = append(out, a.WithoutKeys())
		}
	}
	return out
}
