// Package merge merges the hits of the shards of one request.
//
// # Usage
//
//	m := merge.New(10, false)
//	m.Add(reply.Hits, reply.More)
//	hits, more := m.Result()
//
// A ranked merge keeps the best hits up to the limit, ordered by descending score
// and then by identifier, so the result does not depend on the order in which
// shards answer. A merge of all matches keeps the first hits by identifier, up to
// the limit. Greatest merges opaque parts of fixed-size records.
package merge

import (
	"cmp"
	"slices"

	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// compactFactor times the limit is how many hits the buffer may hold before Add
// sorts it and cuts it to the limit.
const compactFactor = 8

// Merge collects the best hits up to a limit.
type Merge struct {
	limit int
	all   bool
	more  bool
	hits  []wire.Hit
}

// New returns a merge that keeps up to limit hits. With all, it keeps the first
// hits by identifier, otherwise the best by score.
func New(limit int, all bool) *Merge { return &Merge{limit: limit, all: all} }

// Add adds the hits of one shard. More reports whether the shard has further
// matches.
func (m *Merge) Add(hits []wire.Hit, more bool) {
	m.more = m.more || more
	m.hits = append(m.hits, hits...)
	if len(m.hits) > compactFactor*m.limit {
		m.compact()
	}
}

// Result returns the hits in order, and whether matches were left out.
func (m *Merge) Result() (hits []wire.Hit, more bool) {
	m.compact()
	return m.hits, m.more
}

func (m *Merge) compact() {
	if m.all {
		slices.SortFunc(m.hits, byID)
	} else {
		slices.SortFunc(m.hits, byScore)
	}
	if len(m.hits) > m.limit {
		m.hits = m.hits[:m.limit]
		m.more = true
	}
}

func byID(a, b wire.Hit) int { return cmp.Compare(a.ID, b.ID) }

func byScore(a, b wire.Hit) int {
	return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
}
