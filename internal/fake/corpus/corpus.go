// Package corpus generates the documents that the fake searchers serve. They
// depend only on the service, the version, the number of documents and the number
// of shards, so a test can compute the expected hits of every query.
//
// # Usage
//
//	c := corpus.New("Herbarium", 2000)
//	index := c.Index(7, 260)
//	hits, more := index.Search(shard, &request)
//	all := c.Matches("oregano", 7)
package corpus

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliarelay/magnoliarelay/internal/process/mutex"
	"github.com/magnoliarelay/magnoliarelay/internal/request/merge"
	"github.com/magnoliarelay/magnoliarelay/pkg/wire"
)

// Words are the words that documents are made of.
var Words = []string{
	"oregano", "fennel", "caper", "thyme", "sage", "rosemary", "basil", "mint",
	"white", "red", "blue", "yellow", "green", "violet", "orange", "grey",
}

const wordsPerDocument = 3

// Corpus holds the documents of one service.
type Corpus struct {
	service   string
	documents int

	mu      mutex.Mutex
	indexes map[indexKey]*Index
}

type indexKey struct {
	version uint64
	shards  int
}

// Index is one version of a corpus, split into a number of shards.
type Index struct {
	Version uint64
	// postings holds the hits of each word for each shard, ordered by ID.
	postings []map[string][]wire.Hit
}

// New returns a corpus, which builds each index on first use.
func New(service string, documents int) *Corpus {
	return &Corpus{service: service, documents: documents, indexes: map[indexKey]*Index{}}
}

// Index returns the index of a version, split into a number of shards.
func (c *Corpus) Index(version uint64, shards int) *Index {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := indexKey{version: version, shards: shards}
	if index := c.indexes[key]; index != nil {
		return index
	}
	index := c.build(version, shards)
	c.indexes[key] = index
	return index
}

// Matches returns all hits of a query at a version, ordered by ID.
func (c *Corpus) Matches(query string, version uint64) []wire.Hit {
	return c.Index(version, 1).postings[0][firstWord(query)]
}

func (c *Corpus) build(version uint64, shards int) *Index {
	index := &Index{Version: version, postings: make([]map[string][]wire.Hit, shards)}
	for shard := range index.postings {
		index.postings[shard] = map[string][]wire.Hit{}
	}
	for i := range c.documents {
		id := fmt.Sprintf("%s-%06d", strings.ToLower(c.service), i)
		hash := xxhash.Sum64String(id)
		postings := index.postings[hash%uint64(shards)]
		text := fmt.Sprintf("%s at version %d", id, version)
		for n := range wordsPerDocument {
			chosen := Words[(hash>>(8*n+16))%uint64(len(Words))]
			hit := wire.Hit{ID: id, Score: float64((hash>>(4*n))%1000) / 1000, Text: text}
			if !slices.ContainsFunc(postings[chosen], func(h wire.Hit) bool { return h.ID == id }) {
				postings[chosen] = append(postings[chosen], hit)
			}
		}
	}
	return index
}

// Search returns the hits of one shard, as a searcher returns them.
func (x *Index) Search(shard int, request *wire.ShardRequest) (hits []wire.Hit, more bool) {
	found := x.postings[shard][firstWord(request.Query)]
	m := merge.New(request.Limit, request.All)
	if request.All {
		start, _ := slices.BinarySearchFunc(found, request.After, func(h wire.Hit, after string) int {
			if h.ID <= after {
				return -1
			}
			return 1
		})
		found = found[start:]
	}
	m.Add(found, false)
	return m.Result()
}

// firstWord returns the first word of a query, which is the one searched for. The
// other words only make queries distinct.
func firstWord(query string) string {
	first, _, _ := strings.Cut(strings.TrimSpace(query), " ")
	return first
}
