package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	fakestore "github.com/magnoliarelay/magnoliarelay/internal/fake/store"
	"github.com/magnoliarelay/magnoliarelay/internal/process/store"
)

// Guards against a stand-in that forgives what a restored cluster does not: writes, leases and
// watches from after the snapshot are gone, its revisions are given out again, and a watch
// from a revision that the store does not have yet waits for it.
func TestRestoreFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakestore.Store{}
		client := &store.Store{Endpoints: []string{"http://store"}, Transport: fakestore.NewTransport(s)}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		write := func(value string) int64 {
			item, err := client.Get(ctx, "/k")
			if err != nil {
				t.Fatal(err)
			}
			revision, err := client.Swap(ctx, store.Swap{Key: "/k", Expect: item.Revision, Value: []byte(value)})
			if err != nil {
				t.Fatal(err)
			}
			return revision
		}
		write("kept")
		snapshot := s.Snapshot()
		lost := write("lost")
		lease, err := client.Grant(ctx, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		cut := make(chan error, 1)
		go func() { cut <- client.Watch(ctx, "/k", lost+1, func(store.Item) {}) }()
		synctest.Wait()

		s.Restore(snapshot)
		if err := <-cut; err == nil {
			t.Error("the watch of before goes on")
		}
		item, err := client.Get(ctx, "/k")
		if err != nil || string(item.Value) != "kept" {
			t.Errorf("%s after the restore, %v", item.Value, err)
		}
		if err := client.KeepAlive(ctx, lease); err == nil {
			t.Error("the lease from after the snapshot is alive")
		}
		seen := make(chan int64, 9)
		go func() { _ = client.Watch(ctx, "/k", lost+2, func(i store.Item) { seen <- i.Revision }) }()
		synctest.Wait()
		for range 3 {
			write("new")
			synctest.Wait()
		}
		if first := <-seen; first != lost+2 {
			t.Errorf("a watch from revision %d began at %d", lost+2, first)
		}
	})
}
