// Package store is the client of the platform's key-value service, which it
// reaches through the JSON gateway of etcd v3. Another service would need another
// client with the same few methods.
//
// # Usage
//
//	s := &store.Store{Endpoints: []string{"http://127.0.0.1:2379"}}
//	item, err := s.Get(ctx, "/magnoliarelay/settings")
//	revision, err := s.Swap(ctx, store.Swap{Key: key, Expect: item.Revision, Value: value})
//	err = s.Watch(ctx, key, item.Revision+1, func(i store.Item) { ... })
//
// An error of KindUnknown means that a write may have taken effect: the caller
// has to read the key to find out.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/conn/dial"
	"github.com/magnoliarelay/magnoliarelay/internal/conn/etcd"
	"github.com/magnoliarelay/magnoliarelay/internal/process/fault"
)

// Kind classifies an Error.
type Kind string

// The kinds.
const (
	// KindUnavailable means that the call failed without effect.
	KindUnavailable Kind = "Unavailable"
	// KindUnknown means that a write may have taken effect.
	KindUnknown Kind = "Unknown"
	// KindConflict means that the key had another revision than expected; nothing was
	// written.
	KindConflict Kind = "Conflict"
	// KindCompacted means that the start revision of a watch is older than the history
	// that the store keeps.
	KindCompacted Kind = "Compacted"
	// KindLapsed means that a lease has ended.
	KindLapsed Kind = "Lapsed"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	callTimeout      = 3 * time.Second
	maxResponseBytes = 8 << 20
)

// Item is one key of the store with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision int64
	// Lease is the lease that holds the key, or zero.
	Lease int64
}

// Swap is a compare-and-swap: a write that takes effect only if a key has the
// expected revision.
type Swap struct {
	Key string
	// Expect is the revision that the key must have; zero means absent.
	Expect int64
	Value  []byte
	// Also are further items to write in the same transaction.
	Also []Item
	// Drop are keys to delete in the same transaction.
	Drop []string
}

// Store is a client of the service. Exported fields are set before use.
type Store struct {
	// Endpoints are base URLs, tried in turn.
	Endpoints []string
	// Count is called with the name of each call; it may be nil.
	Count func(call string)
	// Transport carries the calls; if it is nil, they go by HTTP over the network.
	Transport http.RoundTripper

	next atomic.Uint32
}

// Get reads a key. The item of an absent key has revision zero.
func (s *Store) Get(ctx context.Context, key string) (Item, error) {
	var response etcd.RangeResponse
	if err := s.call(ctx, "range", "/v3/kv/range", &etcd.RangeRequest{Key: []byte(key)}, &response); err != nil {
		return Item{}, err
	}
	if len(response.Kvs) == 0 {
		return Item{Key: key}, nil
	}
	return item(&response.Kvs[0]), nil
}

// List reads all keys with a prefix.
func (s *Store) List(ctx context.Context, prefix string) ([]Item, error) {
	var response etcd.RangeResponse
	request := &etcd.RangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := s.call(ctx, "range", "/v3/kv/range", request, &response); err != nil {
		return nil, err
	}
	items := make([]Item, 0, len(response.Kvs))
	for i := range response.Kvs {
		items = append(items, item(&response.Kvs[i]))
	}
	return items, nil
}

// Swap carries out a compare-and-swap in one transaction and returns the new
// revision.
func (s *Store) Swap(ctx context.Context, swap Swap) (int64, error) {
	request := &etcd.TxnRequest{
		Compare: []etcd.Compare{{Target: "MOD", Result: "EQUAL", Key: []byte(swap.Key), ModRevision: swap.Expect}},
		Success: []etcd.Operation{{Put: &etcd.PutRequest{Key: []byte(swap.Key), Value: swap.Value}}},
	}
	for _, also := range swap.Also {
		request.Success = append(request.Success, etcd.Operation{Put: &etcd.PutRequest{Key: []byte(also.Key), Value: also.Value}})
	}
	for _, key := range swap.Drop {
		request.Success = append(request.Success, etcd.Operation{Delete: &etcd.DeleteRequest{Key: []byte(key)}})
	}
	var response etcd.TxnResponse
	if err := s.call(ctx, "txn", "/v3/kv/txn", request, &response); err != nil {
		return 0, err
	}
	if !response.Succeeded {
		return 0, &Error{Op: "swap", Kind: KindConflict, Err: fault.Causef("%s is not at revision %d", swap.Key, swap.Expect)}
	}
	return response.Header.Revision, nil
}

// Grant creates a lease, which lapses unless it is kept alive.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var lease etcd.Lease
	err := s.call(ctx, "grant", "/v3/lease/grant", &etcd.GrantRequest{TTL: int64(ttl.Seconds())}, &lease)
	return lease.ID, err
}

// KeepAlive extends a lease.
func (s *Store) KeepAlive(ctx context.Context, lease int64) error {
	var response etcd.KeepAliveResponse
	if err := s.call(ctx, "keepalive", "/v3/lease/keepalive", &etcd.Lease{ID: lease}, &response); err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return &Error{Op: "keep alive", Kind: KindLapsed}
	}
	return nil
}

// PutLeased writes a key that the store deletes when the lease ends.
func (s *Store) PutLeased(ctx context.Context, key string, value []byte, lease int64) error {
	put := &etcd.PutRequest{Key: []byte(key), Value: value, Lease: lease}
	var response etcd.TxnResponse
	return s.call(ctx, "txn", "/v3/kv/txn", &etcd.TxnRequest{Success: []etcd.Operation{{Put: put}}}, &response)
}

// Watch calls the function for each change of a key, starting at a revision. It
// returns when the context ends or the stream breaks.
func (s *Store) Watch(ctx context.Context, key string, from int64, change func(Item)) error {
	var request etcd.WatchRequest
	request.Create.Key = []byte(key)
	request.Create.StartRevision = from
	response, err := s.post(ctx, "watch", "/v3/watch", &request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	limited := &io.LimitedReader{R: response.Body}
	decoder := json.NewDecoder(limited)
	for {
		// The limit applies to each message, since the stream has no end.
		limited.N = maxResponseBytes
		var message etcd.WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return &Error{Op: "watch", Kind: KindUnavailable, Err: err}
		}
		if message.Result.Canceled {
			kind := KindUnavailable
			if message.Result.CompactRevision > 0 {
				kind = KindCompacted
			}
			return &Error{Op: "watch", Kind: kind}
		}
		for i := range message.Result.Events {
			if e := &message.Result.Events[i]; e.Type != "DELETE" {
				change(item(&e.Kv))
			}
		}
	}
}

func (s *Store) call(ctx context.Context, name, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := s.post(ctx, name, path, request)
	if err != nil {
		return err
	}
	defer reply.Body.Close()
	if err := json.NewDecoder(io.LimitReader(reply.Body, maxResponseBytes)).Decode(response); err != nil {
		return &Error{Op: name, Kind: KindUnknown, Err: err}
	}
	return nil
}

// post sends a call to the current endpoint and moves on to the next one after a
// failure. Only failures before the request was written are known to have had no
// effect.
func (s *Store) post(ctx context.Context, name, path string, body any) (*http.Response, error) {
	if s.Count != nil {
		s.Count(name)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, &Error{Op: name, Kind: KindUnavailable, Err: err}
	}
	endpoint := s.Endpoints[int(s.next.Load())%len(s.Endpoints)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, strings.TrimSuffix(endpoint, "/")+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, &Error{Op: name, Kind: KindUnavailable, Err: err}
	}
	// Without GetBody, net/http never sends a request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: s.Transport}
	if s.Transport == nil {
		client.Transport = dial.Transport
	}
	response, err := client.Do(request)
	if err != nil {
		s.next.Add(1)
		return nil, &Error{Op: name, Kind: kindOf(err), Err: err}
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		s.next.Add(1)
		kind := KindUnknown
		if response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable {
			kind = KindUnavailable
		}
		return nil, &Error{Op: name, Kind: kind, Err: fault.Causef("the store answered %s", response.Status)}
	}
	return response, nil
}

func kindOf(err error) Kind {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return KindUnavailable
	}
	return KindUnknown
}

func item(kv *etcd.KeyValue) Item {
	return Item{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, Lease: kv.Lease}
}

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
