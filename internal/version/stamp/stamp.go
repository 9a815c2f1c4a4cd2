// Package stamp orders the states that the store has given out. The store counts its
// changes by revisions. If it is put back to an older copy, a new era begins: its revision
// falls, and revisions are given out again, so that a revision alone says nothing. All that
// is compared, confirmed or passed on between daemons therefore carries a stamp.
//
// # Usage
//
//	known := stamp.Stamp{Era: 1, Revision: 34}
//	read := stamp.Stamp{Era: 2, Revision: 23}
//	if read.After(known) {
//		// the store was put back, and what was read replaces what is known
//	}
//
// Settings also have a number from the operator, which goes before the era: a store that was put
// back may hold older settings until the operator writes the newer ones again. It is the operator's
// version or, where the store gives out versions again too, the time of the change (package epoch).
package stamp

import (
	"cmp"
	"math"
)

// Stamp identifies a state of the store, or the change of one key. The zero value is
// before any other one.
type Stamp struct {
	_ struct{} `cbor:",toarray"`
	// Number orders the changes of the settings as the operator made them; zero for anything else.
	Number int64
	// Era counts how often the store was put back to an older copy. It is zero for a store
	// that does not count.
	Era int64
	// Revision is the store's revision in that era.
	Revision int64
}

// Latest is after every other stamp and stands for an unknown one.
var Latest = Stamp{Number: math.MaxInt64, Era: math.MaxInt64, Revision: math.MaxInt64}

// Compare returns -1 if the stamp is before the other one, 1 if it is after it, and else 0.
func (s Stamp) Compare(other Stamp) int {
	return cmp.Or(cmp.Compare(s.Number, other.Number), cmp.Compare(s.Era, other.Era), cmp.Compare(s.Revision, other.Revision))
}

// After reports whether the stamp is after the other one.
func (s Stamp) After(other Stamp) bool { return s.Compare(other) > 0 }

// Max returns the later of the two stamps.
func (s Stamp) Max(other Stamp) Stamp {
	if other.After(s) {
		return other
	}
	return s
}
