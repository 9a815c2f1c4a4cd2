package store

import (
	"maps"
	"slices"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/etcd"
)

// Snapshot is a copy of what the store holds. The zero value is that of an empty store.
type Snapshot struct {
	revision        int64
	compactRevision int64
	keys            map[string]etcd.KeyValue
	log             []etcd.Event
	leaseTTLs       map[int64]time.Duration
}

// Snapshot returns a copy of what the store holds now.
func (s *Store) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	snapshot := Snapshot{
		revision: s.revision, compactRevision: s.compactRevision,
		keys: maps.Clone(s.keys), log: slices.Clone(s.log), leaseTTLs: map[int64]time.Duration{},
	}
	for id := range s.leaseExpiry {
		snapshot.leaseTTLs[id] = s.leaseTTLs[id]
	}
	return snapshot
}

// Restore puts the store back to a snapshot, as a restored cluster starts: what was
// written since is gone, its revisions are given out again, the cluster and its member
// have other IDs, the leases of the snapshot start anew, and the watches have ended.
func (s *Store) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
	s.revision, s.compactRevision = max(1, snapshot.revision), snapshot.compactRevision
	s.keys, s.log = map[string]etcd.KeyValue{}, slices.Clone(snapshot.log)
	maps.Copy(s.keys, snapshot.keys)
	s.leaseTTLs, s.leaseExpiry = map[int64]time.Duration{}, map[int64]time.Time{}
	for id, ttl := range snapshot.leaseTTLs {
		s.leaseTTLs[id], s.leaseExpiry[id] = ttl, time.Now().Add(ttl)
	}
	s.wakeWatches()
}

// Revision returns the revision of the snapshot.
func (s *Snapshot) Revision() int64 { return s.revision }

// Without returns the snapshot without a key, as if it had been taken before the key was
// written.
func (s *Snapshot) Without(key string) Snapshot {
	without := *s
	without.keys = maps.Clone(s.keys)
	delete(without.keys, key)
	return without
}
