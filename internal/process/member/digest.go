package member

import (
	"cmp"
	"slices"
	"time"
)

// RecordDigest identifies one version of a record: by the hash of the daemon's name,
// its incarnation, its version and its state.
type RecordDigest struct {
	_           struct{} `cbor:",toarray"`
	Hash        uint64
	Incarnation uint64
	Version     uint64
	State       State
}

// Digests returns the digest of every record, for Compare.
func (t *Table) Digests() []RecordDigest {
	t.mu.Lock()
	defer t.mu.Unlock()
	digests := make([]RecordDigest, 0, len(t.members))
	for _, e := range t.members {
		digests = append(digests, RecordDigest{Hash: e.hash, Incarnation: e.Incarnation, Version: e.Version, State: e.State})
	}
	return digests
}

// Compare compares this table with the digests of another one. It returns the
// records that the other table lacks or holds in an older version, sorted by name,
// and the hashes of the records that the other table holds in a newer version.
func (t *Table) Compare(now time.Time, digests []RecordDigest) (newer []Member, older []uint64) {
	remote := make(map[uint64]*RecordDigest, len(digests))
	for i := range digests {
		remote[digests[i].Hash] = &digests[i]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.members {
		d := remote[e.hash]
		delete(remote, e.hash)
		if d == nil {
			newer = append(newer, t.export(now, e))
			continue
		}
		other := &Member{Incarnation: d.Incarnation, Version: d.Version, State: d.State}
		switch order := compare(&e.Member, other); {
		case order > 0:
			newer = append(newer, t.export(now, e))
		case order < 0:
			older = append(older, e.hash)
		}
	}
	for hash := range remote {
		older = append(older, hash)
	}
	slices.SortFunc(newer, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(older)
	return newer, older
}

// Records returns the records with the given hashes.
func (t *Table) Records(now time.Time, hashes []uint64) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []Member
	for _, e := range t.members {
		if slices.Contains(hashes, e.hash) {
			found = append(found, t.export(now, e))
		}
	}
	return found
}

// Digest returns a checksum of the live records, so that two daemons can tell
// whether their tables differ.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for _, e := range t.members {
		if e.State < Silent {
			sum += e.hash * (e.Incarnation + 31*e.Version + 7*uint64(e.State) + 1)
		}
	}
	return sum
}

func newer(a, b *Member) bool { return compare(a, b) > 0 }

// compare orders two records of the same daemon; the newer one is greater.
func compare(a, b *Member) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Version, b.Version), cmp.Compare(a.State, b.State))
}
