package epoch

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliarelay/magnoliarelay/internal/version/stamp"
	"github.com/magnoliarelay/magnoliarelay/pkg/tree"
)

var now = time.Unix(1000, 0)

func files(queue string) tree.Files {
	return tree.Files{"firm.ini": "[Cost]\nQueueLength = " + queue + "\n", "D/deployment.ini": ""}
}

func TestRevisionsNeverGoBack(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(3))
	properties.Property("revisions only rise", prop.ForAll(func(revisions []int64) bool {
		k := NewKeeper()
		highest := int64(0)
		for _, revision := range revisions {
			accepted, err := k.Apply(now, Change{Revision: revision, Files: files("9")})
			if err != nil || accepted != (revision > highest) {
				return false
			}
			highest = max(highest, revision)
			if k.Current().Change.Revision != highest {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.Int64Range(1, 50))))
	properties.TestingRun(t)
}

func TestInvalidSettingsAreRefused(t *testing.T) {
	k := NewKeeper()
	if _, err := k.Apply(now, Change{Revision: 3, Files: tree.Files{"firm.ini": "[Cost]\nQueueLenght = 1\n"}}); err == nil {
		t.Fatal("no error")
	}
	if got := k.Current().Change.Revision; got != 0 {
		t.Errorf("revision %d is in force", got)
	}
}

func TestDeltaHoldsOnlyChangedFiles(t *testing.T) {
	sender, receiver := NewKeeper(), NewKeeper()
	first := Change{Revision: 2, Files: files("9")}
	second := Change{Revision: 5, Number: 2, Files: tree.Files{"firm.ini": "[Cost]\nQueueLength = 10\n"}}
	for _, c := range []Change{first, second} {
		if _, err := sender.Apply(now, c); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := receiver.Apply(now, first); err != nil {
		t.Fatal(err)
	}
	delta := sender.Since(stamp.Stamp{Revision: 2})
	if delta.Base != (stamp.Stamp{Revision: 2}) || len(delta.Change.Files) != 1 || len(delta.Deleted) != 1 {
		t.Errorf("delta %+v", delta)
	}
	got, ok := receiver.Patch(delta)
	if !ok || !cmp.Equal(got, second) {
		t.Errorf("patched %+v, %v", got, ok)
	}
	if _, ok := NewKeeper().Patch(delta); ok {
		t.Error("a delta was applied to another base")
	}
	if whole := sender.Since(stamp.Stamp{Revision: 99}); whole.Base != (stamp.Stamp{}) || !cmp.Equal(whole.Change, second) {
		t.Errorf("an unknown base got %+v", whole)
	}
}
